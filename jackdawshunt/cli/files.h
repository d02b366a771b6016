// Files named on the command line: settings, records, arrays of records.
//
// Example:
//   std::vector<std::string> faults;
//   auto records = cli::ReadRecordFile("lodge.json", faults);
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

// Reads a file with one record or a JSON array of records. Adds
// "<file>: <pointer>: <value>: <what is allowed>" for each fault; returns the
// valid records.
std::vector<RecordText> ReadRecordFile(const std::string& path,
                                       std::vector<std::string>& faults);

// Returns every fault of a settings or record file. A JSON array and an object
// with a field "kind" are records. `role` is that of a settings file; when
// absent, a file with the field "upstream" or "upstream_address" is a side's.
std::vector<std::string> CheckFile(const std::string& path,
                                   std::optional<protocol::Role> role);

// Returns a fault for each token claimed by two of the workspaces.
std::vector<std::string> TokenConflicts(
    const std::vector<records::Workspace>& workspaces);

}  // namespace jackdawshunt::cli

#endif  // JACKDAWSHUNT_CLI_FILES_H_
