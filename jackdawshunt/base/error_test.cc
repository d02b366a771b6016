#include "jackdawshunt/base/error.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace jackdawshunt::base {
namespace {

// Guards against a row of the table standing at the place of another kind.
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

// Guards against an invalid byte of a caller's text breaking the answer.
TEST(ErrorTest, BodyIsValidJsonForAnyMessage) {
  const auto body = nlohmann::json::parse(
      ErrorBody(ErrorKind::kBadRequest, "bad \"name\"\n\xff", "r1"));
  EXPECT_EQ(body["error"]["ran"], "no");
}

}  // namespace
}  // namespace jackdawshunt::base
