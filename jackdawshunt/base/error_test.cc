#include "jackdawshunt/base/error.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace jackdawshunt::base {
namespace {

// Guards against a table whose rows are not in the order of the enum.
TEST(ErrorTest, EveryKindHasItsOwnRow) {
  for (int i = 0; i <= static_cast<int>(ErrorKind::kInternal); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    EXPECT_EQ(AnswerFor(kind).kind, kind);
    EXPECT_EQ(ParseErrorKind(ErrorKindName(kind)), kind);
  }
}

TEST(ErrorTest, StatusCarriesItsKind) {
  EXPECT_EQ(KindOf(MakeError(ErrorKind::kQueueFull, "200 waiting")),
            ErrorKind::kQueueFull);
  EXPECT_EQ(KindOf(absl::InternalError("no kind")), ErrorKind::kInternal);
}

// Guards against invalid UTF-8 in a caller's text making the body invalid JSON.
TEST(ErrorTest, BodyIsValidJsonForAnyMessage) {
  const auto body = nlohmann::json::parse(
      ErrorBody(ErrorKind::kBadRequest, "bad \"name\"\n\xff", "r1"));
  EXPECT_EQ(body["error"]["ran"], "no");
}

}  // namespace
}  // namespace jackdawshunt::base
