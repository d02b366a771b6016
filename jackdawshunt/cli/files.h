// Reads and checks the files given on the command line: settings files and
// record files with one record or an array of records.
//
// Example:
//   std::vector<std::string> errors;
//   auto records = cli::ReadRecordFile("lodge.json", errors);
#ifndef JACKDAWSHUNT_CLI_FILES_H_
#define JACKDAWSHUNT_CLI_FILES_H_

#include <optional>
#include <string>
#include <vector>

#include "jackdawshunt/protocol/messages.h"
#include "jackdawshunt/records/records.h"

namespace jackdawshunt::cli {

// A valid record as it is written to the platform.
struct RecordText {
  std::string key;
  std::string value;  // JSON without comments.
  records::Record record;
};

// Reads a file with one record or a JSON array of records and returns the valid
// ones. Adds "<file>: <pointer>: <value>: <what is allowed>" to `errors` for
// each validation error.
std::vector<RecordText> ReadRecordFile(const std::string& path,
                                       std::vector<std::string>& errors);

// Returns every validation error of a settings or record file. A JSON array or
// an object with the field "kind" is taken as records, anything else as
// settings of `role`. Without `role`, settings with the field "upstream" or
// "upstream_address" are those of a side, others those of an entry.
std::vector<std::string> CheckFile(const std::string& path,
                                   std::optional<protocol::Role> role);

// Returns an error for each token that two of the workspaces claim.
std::vector<std::string> TokenConflicts(
    const std::vector<records::Workspace>& workspaces);

}  // namespace jackdawshunt::cli

#endif  // JACKDAWSHUNT_CLI_FILES_H_
