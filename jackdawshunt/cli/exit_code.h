// Exit codes of the command line, documented in its --help.
#ifndef JACKDAWSHUNT_CLI_EXIT_CODE_H_
#define JACKDAWSHUNT_CLI_EXIT_CODE_H_

namespace jackdawshunt::cli {

enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kInvalid = 2,      // Invalid settings, record or arguments.
  kLostRace = 3,     // The object does not have the expected version.
  kNotInEffect = 4,  // Not in effect at every live instance in time.
};

}  // namespace jackdawshunt::cli

#endif  // JACKDAWSHUNT_CLI_EXIT_CODE_H_
