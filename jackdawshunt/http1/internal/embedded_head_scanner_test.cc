#include "jackdawshunt/http1/internal/embedded_head_scanner.h"

#include <string>

#include "gtest/gtest.h"

namespace jackdawshunt::http1::internal {
namespace {

constexpr std::string_view kOther =
    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";

// Takes heads with an "Id" header for those of other responses.
struct Owner final : EmbeddedHeadScanner::Owner {
  void OnScannedBody(std::string_view data) override { body.append(data); }
  bool MayContinueWithStatusLine() override { return may_continue; }
  bool IsOtherResponse(const ResponseHead& head) override {
    return CountHeader(head.headers, "Id") > 0;
  }

  std::string body;
  bool may_continue = true;
};

struct Result {
  std::string body;
  bool is_body = true;
};

// Feeds `text` in two pieces, or more.
Result Scan(std::string_view text, size_t cut, size_t piece = 0) {
  Owner owner;
  EmbeddedHeadScanner scanner(owner);
  Result result;
  for (size_t at = 0; result.is_body && at < text.size();) {
    const size_t size =
        piece > 0 ? piece : (at == 0 && cut > 0 ? cut : 1 << 30);
    result.is_body = scanner.Feed(text.substr(at, size));
    at += std::min(size, text.size() - at);
  }
  result.is_body = result.is_body && scanner.FeedEnd();
  result.body = owner.body;
  return result;
}

// Guards against bytes of another response in a body, wherever reads split it.
TEST(EmbeddedHeadScannerTest, FindsAHeadAtAnySplit) {
  const std::string text = "result" + std::string(kOther);
  for (size_t cut = 0; cut < text.size(); ++cut) {
    const Result result = Scan(text, cut);
    EXPECT_FALSE(result.is_body) << cut;
    EXPECT_EQ(result.body, "result") << cut;
  }
  EXPECT_EQ(Scan(text, 0, 1).body, "result");
}

// Guards against a second response that is cut off before its id.
TEST(EmbeddedHeadScannerTest, AnIncompleteHeadAtTheEndIsNotBody) {
  const Result result = Scan("resultHTTP/1.1 200 OK\r\nI", 0);
  EXPECT_FALSE(result.is_body);
  EXPECT_EQ(result.body, "result");
}

// Guards against the loss of bodies that only mention HTTP.
TEST(EmbeddedHeadScannerTest, PassesOnBodiesWithoutAnotherResponse) {
  for (const std::string& text :
       {std::string("HTTP/1."), std::string("we speak HTTP/1.1"),
        std::string("HTTP/1.1 200 OK\r\nServer: x\r\n\r\nquoted"),
        std::string("HTTP/1.1 200 OK\nHTTP/1.1 and HTTP/1.HTTP/1.0 \n"),
        std::string("HHTTP/1.HTTP/1.1 20"),
        "HTTP/1.1 100 Continue\r\n\r\n" + std::string(20000, 'x')}) {
    for (size_t cut = 0; cut < std::min<size_t>(text.size(), 100); ++cut) {
      const Result result = Scan(text, cut);
      EXPECT_TRUE(result.is_body) << text;
      EXPECT_EQ(result.body, text);
    }
  }
}

TEST(EmbeddedHeadScannerTest, TheOwnerMayForbidAStatusLine) {
  Owner owner;
  owner.may_continue = false;
  EmbeddedHeadScanner scanner(owner);
  EXPECT_TRUE(scanner.Feed("data: a\n\nHTTP/"));
  EXPECT_FALSE(scanner.Feed("1.x"));
  EXPECT_EQ(owner.body, "data: a\n\n");
}

// Guards against memory and time for heads without end.
TEST(EmbeddedHeadScannerTest, BoundsWhatItHoldsAndParsesAgain) {
  const std::string piece = "HTTP/1.1 200 OK\r\na:";
  std::string text;
  while (text.size() < size_t{100} * 1024) {
    text += piece;
  }
  EXPECT_FALSE(Scan(text, 0).is_body);
  std::string rejected;
  while (rejected.size() < size_t{16} * 1024 * 1024) {
    for (int i = 0; i < 300; ++i) {
      rejected += piece;
    }
    rejected += "\r\n\x01\r\n";
  }
  EXPECT_FALSE(Scan(rejected, 0, 32768).is_body);
}

}  // namespace
}  // namespace jackdawshunt::http1::internal
