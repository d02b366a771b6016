// Text of callers' answers: JSON completions and server-sent events. Does no
// I/O.
//
// Example:
//   exchange->Write(entry::TokensEvent("7f..", "m", 0, {"Hello"}));
#ifndef JACKDAWSHUNT_ENTRY_ANSWER_FORMAT_H_
#define JACKDAWSHUNT_ENTRY_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/http/http.h"

namespace jackdawshunt::entry {

// JSON body of a whole completion.
std::string CompletionBody(std::string_view request,
                           std::string_view model,
                           std::string_view content,
                           const protocol::Done& done);

// Event with the tokens; its id is the index of the last one.
std::string TokensEvent(std::string_view request,
                        std::string_view model,
                        const Tokens& tokens);
// Last chunk, with finish_reason and usage, and "data: [DONE]".
std::string FinalEvents(std::string_view request,
                        std::string_view model,
                        const protocol::Done& done);
// Comment that tells the stream id after a stream moved to another side.
std::string StreamIdComment(std::string_view stream_id);
// Error within a stream whose headers were sent.
std::string ErrorEvent(const Failure& failure);

// Error answer with Retry-After and X-Request-Id.
http::Response ErrorResponse(const Failure& failure);
std::string StreamId(std::string_view request, std::string_view side);

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_ANSWER_FORMAT_H_
