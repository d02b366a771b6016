// Formats answers to callers as JSON completions and server-sent events. Does
// no I/O.
//
// Example:
//   exchange->Write(entry::TokensEvent(
//       id, "m", {.request = id, .offset = 0, .tokens = {"Hello"}}));
#ifndef JACKDAWSHUNT_ENTRY_ANSWER_FORMAT_H_
#define JACKDAWSHUNT_ENTRY_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/http/http.h"

namespace jackdawshunt::entry {

// Returns the JSON body of a whole completion.
std::string CompletionBody(std::string_view request,
                           std::string_view model,
                           std::string_view content,
                           const protocol::Done& done);

// Returns an event with the tokens, whose id is the index of the last token.
std::string TokensEvent(std::string_view request,
                        std::string_view model,
                        const Tokens& tokens);
// Returns the last chunk, with finish_reason and usage, and "data: [DONE]".
std::string FinalEvents(std::string_view request,
                        std::string_view model,
                        const protocol::Done& done);
// Returns a comment with the new stream id of a stream that moved to another
// side.
std::string StreamIdComment(std::string_view stream_id);
// Returns an error event for a stream whose headers were sent.
std::string ErrorEvent(const Failure& failure);

// Returns an error answer with X-Request-Id and, where the error has one,
// Retry-After.
http::Response ErrorResponse(const Failure& failure);
// Returns "<request>.<side>".
std::string StreamId(std::string_view request, std::string_view side);

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_ANSWER_FORMAT_H_
