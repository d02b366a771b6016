#include "jackdawshunt/http1/parser.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck.h"
// rapidcheck/gtest.h needs the two headers before it.
#include "rapidcheck/gtest.h"

namespace jackdawshunt::http1 {
namespace {

constexpr char kPost[] =
    "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

// Stores one response.
struct CollectedResponse final : ResponseSink {
  void OnHead(const ResponseHead& with) override { head = with; }
  void OnBody(std::string_view data) override { body.append(data); }
  ResponseHead head;
  std::string body;
};

ParseState StateAfter(std::string_view text) {
  RequestParser parser({.header_bytes = 1024, .body_bytes = 100});
  parser.Feed(text);
  return parser.state();
}

TEST(RequestParserTest, ParsesRequestSplitAtAnyByte) {
  const std::string text = kPost;
  for (size_t cut = 1; cut < text.size(); ++cut) {
    RequestParser parser({});
    parser.Feed(std::string_view(text).substr(0, cut));
    parser.Feed(std::string_view(text).substr(cut));
    ASSERT_EQ(parser.state(), ParseState::kComplete) << cut;
    EXPECT_EQ(parser.head().method, "POST");
    EXPECT_EQ(parser.head().target, "/a/b?c=d");
    EXPECT_EQ(parser.body(), "body");
    EXPECT_TRUE(parser.keep_alive());
  }
}

TEST(RequestParserTest, DoesNotConsumePipelinedRequest) {
  RequestParser parser({});
  std::string two = kPost;
  two.append(kPost);
  EXPECT_EQ(parser.Feed(two), sizeof(kPost) - 1);
  EXPECT_EQ(parser.Feed(two), 0u);
  parser.Reset();
  EXPECT_EQ(parser.state(), ParseState::kStart);
}

TEST(RequestParserTest, JoinsChunksOfBody) {
  RequestParser parser({});
  parser.Feed(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n");
  ASSERT_EQ(parser.state(), ParseState::kComplete);
  EXPECT_EQ(parser.body(), "abcde");
}

// Guards against blank lines before a request that a parser skips without end,
// or that make it loop at the limit of the head.
TEST(RequestParserTest, BlankLinesBeforeARequestAreReadWithoutEnd) {
  constexpr size_t kLimit = 1024;
  for (const std::string_view line : {"\n", "\r\n"}) {
    for (const size_t piece_lines : {size_t{1}, kLimit / 2, 4 * kLimit}) {
      std::string piece;
      for (size_t i = 0; i < piece_lines; ++i) {
        piece.append(line);
      }
      RequestParser parser({.header_bytes = kLimit});
      size_t consumed = 0;
      while (parser.state() == ParseState::kStart && consumed < 4 * kLimit) {
        consumed += parser.Feed(piece);
      }
      EXPECT_EQ(parser.state(), ParseState::kInvalid) << piece_lines;
      EXPECT_EQ(parser.error(), ParseError::kHeadTooLarge);
    }
  }
  EXPECT_EQ(StateAfter("\r\n\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n"),
            ParseState::kComplete);
}

// Returns bytes that are near a message, with pieces repeated often.
std::string ArbitraryBytes() {
  std::string text;
  const auto count = *rc::gen::inRange<size_t>(1, 8);
  for (size_t i = 0; i < count; ++i) {
    const auto piece = *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>(
            "\r", "\n", "\r\n", "\r\n\r\n", " ", "x", "GET / HTTP/1.1\r\n",
            "POST / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n", "A: b\r\n", ":",
            "Transfer-Encoding: chunked\r\n", "Content-Length: 3\r\n",
            "1\r\nx\r\n", "1;x", "0\r\n"));
    const auto copies = *rc::gen::element<size_t>(1, 1, 2, 40, 300);
    for (size_t copy = 0; copy < copies; ++copy) {
      text.append(piece);
    }
  }
  return text;
}

// Feeds arbitrary bytes with `feed` until `parser` rejects them. Each call must
// consume some; it must also return.
template <typename Parser, typename Feed>
void ExpectProgress(Parser& parser, Feed feed) {
  const std::string text = ArbitraryBytes();
  const auto piece_bytes = *rc::gen::element<size_t>(1, 7, 100, 100000);
  for (size_t at = 0; at < text.size();) {
    const size_t count = feed(std::string_view(text).substr(at, piece_bytes));
    if (parser.state() == ParseState::kInvalid) {
      return;
    }
    RC_ASSERT(count > 0);
    at += count;
    if (parser.state() == ParseState::kComplete) {
      parser.Reset();
    }
  }
}

// Guards against bytes at which a parser stops, neither consuming them nor
// rejecting the message.
RC_GTEST_PROP(RequestParserTest, BytesAreNeitherConsumedNorRejected, ()) {
  RequestParser parser(
      {.header_bytes = *rc::gen::inRange<size_t>(0, 200), .body_bytes = 50});
  ExpectProgress(parser,
                 [&](std::string_view data) { return parser.Feed(data); });
}

RC_GTEST_PROP(ResponseParserTest, BytesAreNeitherConsumedNorRejected, ()) {
  ResponseParser parser;
  CollectedResponse sink;
  ExpectProgress(
      parser, [&](std::string_view data) { return parser.Feed(data, sink); });
}

TEST(RequestParserTest, SeparatesHeaderWithoutValueFromNextHeader) {
  RequestParser parser({});
  parser.Feed("GET / HTTP/1.1\r\nEmpty:\r\nHost: x\r\n\r\n");
  ASSERT_EQ(parser.state(), ParseState::kComplete);
  ASSERT_EQ(parser.head().headers.size(), 2u);
  EXPECT_EQ(parser.head().headers[0].first, "Empty");
  EXPECT_EQ(http::FindHeader(parser.head().headers, "Host"), "x");
}

// Guards against request smuggling: two implementations could see different
// requests in each of these messages.
TEST(RequestParserTest, RejectsAmbiguousFraming) {
  for (const char* const headers : {
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
           "Content-Length: 4\r\nContent-Length: 5\r\n",
           "Content-Length: 4\r\nContent-Length: 4\r\n",
           "Content-Length: 4, 4\r\n",
           "Content-Length: +4\r\n",
           "Content-Length: -1\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: xchunked\r\n",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
           "Transfer-Encoding : chunked\r\n",
           "Content-Length : 4\r\n",
           "Bad Name: 1\r\n",
       }) {
    EXPECT_EQ(StateAfter(std::string("POST / HTTP/1.1\r\nHost: x\r\n") +
                         headers + "\r\nbody"),
              ParseState::kInvalid)
        << headers;
  }
}

TEST(RequestParserTest, RejectsOtherProtocolsAndConnect) {
  EXPECT_EQ(StateAfter("GET / HTTP/1.0\r\n\r\n"), ParseState::kInvalid);
  EXPECT_EQ(StateAfter("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"),
            ParseState::kInvalid);
  EXPECT_EQ(StateAfter("\x16\x03\x01"), ParseState::kInvalid);
}

TEST(RequestParserTest, ParsesBodyOfUpgradeRequest) {
  RequestParser parser({});
  parser.Feed(
      "POST / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: h2c\r\n"
      "Content-Length: 2\r\n\r\nok");
  ASSERT_EQ(parser.state(), ParseState::kComplete);
  EXPECT_EQ(parser.body(), "ok");
}

TEST(RequestParserTest, HeadBeyondTheLimitIsRejectedInOnePiece) {
  const std::string text =
      "GET / HTTP/1.1\r\nLong: " + std::string(100, 'a') + "\r\n\r\n";
  RequestParser within({.header_bytes = text.size(), .body_bytes = 100});
  EXPECT_EQ(within.Feed(text), text.size());
  EXPECT_EQ(within.state(), ParseState::kComplete);
  RequestParser beyond({.header_bytes = text.size() - 2, .body_bytes = 100});
  beyond.Feed(text);
  EXPECT_EQ(beyond.error(), ParseError::kHeadTooLarge);
  EXPECT_TRUE(beyond.head().headers.empty());
}

// An assignment of {} would keep the capacity.
TEST(RequestParserTest, RejectedMessageKeepsItsMemory) {
  RequestParser head({.header_bytes = 1000, .body_bytes = 100000});
  std::string text = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 500; ++i) {
    text += "a:\r\n";
  }
  head.Feed(text);
  EXPECT_EQ(head.error(), ParseError::kHeadTooLarge);
  EXPECT_EQ(head.held_bytes(), 0u);
  RequestParser body({.header_bytes = 1000, .body_bytes = 100000});
  body.Feed("POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" +
            std::string(80000, 'b'));
  EXPECT_GE(body.held_bytes(), 80000u);
  body.Abandon();
  EXPECT_EQ(body.held_bytes(), 0u);
  EXPECT_LT(body.body().capacity(), 100u);
}

TEST(RequestParserTest, EnforcesLimits) {
  RequestParser head({.header_bytes = 64, .body_bytes = 100});
  head.Feed("GET / HTTP/1.1\r\nLong: " + std::string(200, 'a'));
  EXPECT_EQ(head.error(), ParseError::kHeadTooLarge);
  RequestParser length({.header_bytes = 1024, .body_bytes = 3});
  length.Feed(kPost);
  EXPECT_EQ(length.error(), ParseError::kBodyTooLarge);
  RequestParser chunked({.header_bytes = 1024, .body_bytes = 3});
  chunked.Feed(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n");
  EXPECT_EQ(chunked.error(), ParseError::kBodyTooLarge);
}

TEST(ResponseParserTest, ParsesLengthChunkedAndInformationalResponses) {
  for (const char* const text : {
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
           "HTTP/1.1 100 Continue\r\n\r\n"
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
       }) {
    ResponseParser parser;
    CollectedResponse sink;
    parser.Feed(text, sink);
    EXPECT_EQ(parser.state(), ParseState::kComplete) << text;
    EXPECT_EQ(sink.head.status, 200);
    EXPECT_EQ(sink.body, "abc");
    EXPECT_TRUE(parser.keep_alive());
  }
}

// Guards against an upstream in trouble whose status is taken for that of an
// interim response, so that the caller waits for another one, or is passed on.
TEST(ResponseParserTest, StatusOutsideOfHttpIsInvalid) {
  for (const char* const status : {"000", "001", "099", "600", "999"}) {
    ResponseParser parser;
    CollectedResponse sink;
    sink.head.status = 0;
    parser.Feed(std::string("HTTP/1.1 ") + status +
                    " Trouble\r\nContent-Length: 3\r\n\r\nabc",
                sink);
    EXPECT_EQ(parser.state(), ParseState::kInvalid) << status;
    EXPECT_EQ(sink.head.status, 0) << status;
    EXPECT_EQ(sink.body, "") << status;
  }
}

// Guards against a status line that is not one of HTTP and whose response is
// passed on, wherever reads split it, also after an interim response.
TEST(ResponseParserTest, StatusThatHasNoThreeDigitsIsInvalid) {
  for (const char* const line :
       {"HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK", "HTTP/1.1  200 OK",
        "HTTP/1.1 200\tOK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK",
        "HTTP/1.1 2x0 OK", "HTTP/1.1 +200 OK", "HTTP/1.1\t200 OK",
        "HTTP/1.01 200 OK", "HTTP/01.1 200 OK", "HTTP/2.0 200 OK",
        "http/1.1 200 OK"}) {
    for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      const std::string text =
          before + line + "\r\nContent-Length: 3\r\n\r\nabc";
      for (size_t cut = 0; cut < text.size(); ++cut) {
        ResponseParser parser;
        CollectedResponse sink;
        sink.head.status = 0;
        parser.Feed(text.substr(0, cut), sink);
        parser.Feed(text.substr(cut), sink);
        EXPECT_EQ(parser.state(), ParseState::kInvalid) << text;
        EXPECT_EQ(sink.head.status, 0) << text;
      }
    }
  }
}

// Guards against the loss of heads that are unusual and valid.
TEST(ResponseParserTest, StatusLineWithoutReasonIsInvalid) {
  for (const std::string line :
       {"HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\n",
        "\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n"}) {
    for (const std::string before :
         {"", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"}) {
      const std::string text = before + line + "Content-Length: 3\r\n\r\nabc";
      for (size_t cut = 0; cut < text.size(); ++cut) {
        ResponseParser parser;
        CollectedResponse sink;
        EXPECT_EQ(parser.Feed(text.substr(0, cut), sink), cut);
        EXPECT_EQ(parser.Feed(text.substr(cut), sink), text.size() - cut);
        EXPECT_EQ(parser.state(), ParseState::kComplete) << text << cut;
        EXPECT_EQ(sink.body, "abc");
      }
    }
  }
}

// Guards against an upstream that takes an instance's memory by heads: many
// short fields take far more of it than their text.
TEST(ResponseParserTest, HeadOfManyShortFieldsIsInvalid) {
  ResponseParser parser;
  CollectedResponse sink;
  parser.Feed("HTTP/1.1 200 OK\r\n", sink);
  size_t fields = 0;
  while (parser.state() != ParseState::kInvalid && fields < 20000) {
    parser.Feed("a:\r\n", sink);
    ++fields;
  }
  EXPECT_EQ(parser.state(), ParseState::kInvalid);
  EXPECT_LE(fields, 1024u);
}

// Guards against an upstream that sends interim responses without end.
TEST(ResponseParserTest, InterimResponsesWithoutEndAreInvalid) {
  const std::string one = "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n";
  std::string many;
  while (many.size() < 8192) {
    many += one;
  }
  for (const std::string& piece : {one, many, many + "HTTP/1.1 1"}) {
    ResponseParser parser;
    CollectedResponse sink;
    size_t fed = 0;
    while (parser.state() != ParseState::kInvalid && fed < (1u << 20)) {
      parser.Feed(piece, sink);
      fed += piece.size();
    }
    EXPECT_EQ(parser.state(), ParseState::kInvalid) << piece.size();
    EXPECT_LE(fed, 128u * 1024) << piece.size();
  }
}

TEST(ResponseParserTest, OrderlyCloseCompletesBodyWithoutLength) {
  ResponseParser parser;
  CollectedResponse sink;
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc", sink);
  EXPECT_EQ(parser.state(), ParseState::kBody);
  parser.FeedEnd(sink);
  EXPECT_EQ(parser.state(), ParseState::kComplete);
  EXPECT_EQ(sink.body, "abc");
  EXPECT_FALSE(parser.keep_alive());
}

TEST(ResponseParserTest, TruncatedBodyIsInvalid) {
  for (const char* const text : {
           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
       }) {
    ResponseParser parser;
    CollectedResponse sink;
    parser.Feed(text, sink);
    parser.FeedEnd(sink);
    EXPECT_EQ(parser.state(), ParseState::kInvalid) << text;
  }
}

TEST(ResponseParserTest, DoesNotConsumeExtraResponse) {
  ResponseParser parser;
  CollectedResponse sink;
  const std::string_view one = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  std::string two(one);
  two.append(one);
  EXPECT_EQ(parser.Feed(two, sink), one.size());
  EXPECT_EQ(sink.body, "a");
}

TEST(ResponseParserTest, RejectsBytesThatAreNotHttp) {
  ResponseParser parser;
  CollectedResponse sink;
  parser.Feed("hello\r\n\r\n", sink);
  EXPECT_EQ(parser.state(), ParseState::kInvalid);
}

TEST(MessageTest, DropsHopByHopHeaders) {
  const http::Headers kept = EndToEndHeaders({{"Connection", "close, X-Hop"},
                                              {"X-Hop", "1"},
                                              {"Keep-Alive", "timeout=5"},
                                              {"Content-Length", "3"},
                                              {"X-Kept", "2"}});
  ASSERT_EQ(kept.size(), 1u);
  EXPECT_EQ(kept[0].first, "X-Kept");
}

}  // namespace
}  // namespace jackdawshunt::http1
