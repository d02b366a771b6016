// Parses callers' requests and checks them against the active records. Does no
// I/O.
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

// Parses POST /v1/chat/completions. The request id is left empty. Errors:
// kUnauthenticated, kBadRequest, kModelNotAllowed, kNotFound.
absl::StatusOr<Submit> ParseCompletion(const http::Request& request,
                                       const configuration::Snapshot& snapshot);

// Parses any method on /services/<name>/<path>. The request id is left empty.
// Errors: kUnauthenticated, kBadRequest, kModelNotAllowed, kNotFound.
absl::StatusOr<Submit> ParseServiceCall(
    const http::Request& request,
    const configuration::Snapshot& snapshot);

// Parses GET /v1/streams/<request>.<side instance>. Errors: kUnauthenticated,
// kBadRequest, kNotFound.
absl::StatusOr<ResumeStream> ParseResumeStream(
    const http::Request& request,
    const configuration::Snapshot& snapshot);

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_REQUEST_PARSER_H_
