// Checks callers' requests against the records in force. Does no I/O.
//
// Example:
//   absl::StatusOr<entry::Submit> submit =
//       entry::ParseCompletion(exchange->request(), store.snapshot());
//
// Errors carry a base::ErrorKind (base::KindOf).
#ifndef JACKDAWSHUNT_ENTRY_REQUEST_PARSER_H_
#define JACKDAWSHUNT_ENTRY_REQUEST_PARSER_H_

#include "absl/status/statusor.h"
#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/http/http.h"

namespace jackdawshunt::entry {

// Returns the workspace of the bearer token. Error: kUnauthenticated.
absl::StatusOr<const records::Workspace*> Authenticate(
    const http::Request& request,
    const configuration::Snapshot& snapshot);

// POST /v1/chat/completions. The request id is left empty. Errors:
// kUnauthenticated, kBadRequest, kModelNotAllowed, kNotFound.
absl::StatusOr<Submit> ParseCompletion(const http::Request& request,
                                       const configuration::Snapshot& snapshot);

// Any method on /services/<name>/<path>. Errors as above.
absl::StatusOr<Submit> ParseServiceCall(
    const http::Request& request,
    const configuration::Snapshot& snapshot);

// GET /v1/streams/<request>.<side instance>. Errors as above.
absl::StatusOr<Join> ParseJoin(const http::Request& request,
                               const configuration::Snapshot& snapshot);

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_REQUEST_PARSER_H_
