// Checks of streamed answers against the engine's own answer.
//
// Example:
//   StreamReader reader(fleet.EntryAddress(0), request);
//   reader.ReadToEnd();
//   EXPECT_TRUE(IsComplete(reader));
//   EXPECT_EQ(JoinContent(ParseEvents(reader.body())), DirectAnswer(fleet,
//   request));
#ifndef JACKDAWSHUNT_TESTING_STREAM_CHECK_H_
#define JACKDAWSHUNT_TESTING_STREAM_CHECK_H_

#include <string>

#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/http_helper.h"

namespace jackdawshunt::testing {

// The whole answer of engine `engine`, asked without the fleet; empty when it
// cannot be reached.
std::string DirectAnswer(const Fleet& fleet,
                         const http::Request& request,
                         size_t engine = 0);

// True once at least `count` tokens have arrived.
bool HasTokens(const std::string& body, size_t count = 1);

// True when the stream ended well and carried its end mark.
bool IsComplete(const StreamReader& reader);

// Id of the last event that has one; empty when there is none.
std::string LastEventId(const std::string& body);

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_STREAM_CHECK_H_
