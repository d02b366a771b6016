// Exit codes of the command line, documented in its --help.
#ifndef JACKDAWSHUNT_CLI_EXIT_CODE_H_
#define JACKDAWSHUNT_CLI_EXIT_CODE_H_

namespace jackdawshunt::cli {

enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kInvalid = 2,     // Wrong settings, record or arguments.
  kLostRace = 3,    // The object has another version than expected.
  kNotInForce = 4,  // Not in force everywhere in time.
};

}  // namespace jackdawshunt::cli

#endif  // JACKDAWSHUNT_CLI_EXIT_CODE_H_
