#include "jackdawshunt/protocol/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <rapidcheck/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "jackdawshunt/protocol/internal/binary.h"
#include "jackdawshunt/protocol/internal/frame.h"
#include "jackdawshunt/protocol/internal/split.h"

namespace rc {

namespace protocol = jackdawshunt::protocol;
namespace base = jackdawshunt::base;

template <typename Enum>
Gen<Enum> ArbitraryEnum(int count) {
  return gen::map(gen::inRange(0, count),
                  [](int i) { return static_cast<Enum>(i); });
}

template <>
struct Arbitrary<protocol::RequestClass> {
  static auto arbitrary() { return ArbitraryEnum<protocol::RequestClass>(2); }
};

template <>
struct Arbitrary<protocol::StartKind> {
  static auto arbitrary() { return ArbitraryEnum<protocol::StartKind>(2); }
};

template <>
struct Arbitrary<base::ErrorKind> {
  static auto arbitrary() {
    return ArbitraryEnum<base::ErrorKind>(
        static_cast<int>(base::ErrorKind::kInternal) + 1);
  }
};

template <>
struct Arbitrary<base::Executed> {
  static auto arbitrary() { return ArbitraryEnum<base::Executed>(3); }
};

template <>
struct Arbitrary<base::Incarnation> {
  static auto arbitrary() {
    return gen::build<base::Incarnation>(
        gen::set(&base::Incarnation::start_us, gen::nonNegative<int64_t>()),
        gen::set(&base::Incarnation::random));
  }
};

// Defines a generator that sets every listed field to an arbitrary value.
#define ARBITRARY_MESSAGE(type, ...)                               \
  template <>                                                      \
  struct Arbitrary<protocol::type> {                               \
    using T = protocol::type;                                      \
    static auto arbitrary() { return gen::build<T>(__VA_ARGS__); } \
  }

ARBITRARY_MESSAGE(Heartbeat,
                  gen::set(&T::config_revision),
                  gen::set(&T::config_digest),
                  gen::set(&T::draining),
                  gen::set(&T::free_slots),
                  gen::set(&T::slots),
                  gen::set(&T::has_bids));
ARBITRARY_MESSAGE(BidItem,
                  gen::set(&T::workspace),
                  gen::set(&T::request_class),
                  gen::set(&T::waiting),
                  gen::set(&T::service),
                  gen::set(&T::estimate));
ARBITRARY_MESSAGE(Bid, gen::set(&T::model), gen::set(&T::items));
ARBITRARY_MESSAGE(Grant,
                  gen::set(&T::grant),
                  gen::set(&T::model),
                  gen::set(&T::workspace),
                  gen::set(&T::request_class),
                  gen::set(&T::valid_ms));
ARBITRARY_MESSAGE(Start,
                  gen::set(&T::grant),
                  gen::set(&T::side_incarnation),
                  gen::set(&T::request),
                  gen::set(&T::attempt),
                  gen::set(&T::workspace),
                  gen::set(&T::model),
                  gen::set(&T::request_class),
                  gen::set(&T::kind),
                  gen::set(&T::repeatable),
                  gen::set(&T::method),
                  gen::set(&T::path),
                  gen::set(&T::content_type),
                  gen::set(&T::body),
                  gen::set(&T::resume_tokens));
ARBITRARY_MESSAGE(Decline, gen::set(&T::grant));
ARBITRARY_MESSAGE(Query,
                  gen::set(&T::grant),
                  gen::set(&T::side_incarnation),
                  gen::set(&T::request),
                  gen::set(&T::attempt));
ARBITRARY_MESSAGE(Refused,
                  gen::set(&T::grant),
                  gen::set(&T::request),
                  gen::set(&T::attempt),
                  gen::set(&T::reason));
ARBITRARY_MESSAGE(Accepted, gen::set(&T::request), gen::set(&T::attempt));
ARBITRARY_MESSAGE(Chunk,
                  gen::set(&T::request),
                  gen::set(&T::attempt),
                  gen::set(&T::offset),
                  gen::set(&T::data));
ARBITRARY_MESSAGE(Done,
                  gen::set(&T::request),
                  gen::set(&T::attempt),
                  gen::set(&T::length),
                  gen::set(&T::input_tokens),
                  gen::set(&T::output_tokens),
                  gen::set(&T::finish_reason),
                  gen::set(&T::http_status),
                  gen::set(&T::content_type));
ARBITRARY_MESSAGE(Failed,
                  gen::set(&T::request),
                  gen::set(&T::attempt),
                  gen::set(&T::kind),
                  gen::set(&T::ran),
                  gen::set(&T::message),
                  gen::set(&T::tokens));
ARBITRARY_MESSAGE(Attach,
                  gen::set(&T::request),
                  gen::set(&T::workspace),
                  gen::set(&T::offset));
ARBITRARY_MESSAGE(Credit,
                  gen::set(&T::request),
                  gen::set(&T::attempt),
                  gen::set(&T::offset));
ARBITRARY_MESSAGE(Cancel, gen::set(&T::request), gen::set(&T::attempt));
ARBITRARY_MESSAGE(CounterEntry,
                  gen::set(&T::origin),
                  gen::set(&T::incarnation),
                  gen::set(&T::workspace),
                  gen::set(&T::service));
ARBITRARY_MESSAGE(LiftEntry, gen::set(&T::workspace), gen::set(&T::lift));
ARBITRARY_MESSAGE(Counters,
                  gen::set(&T::counters),
                  gen::set(&T::lifts),
                  gen::set(&T::backlogged),
                  gen::set(&T::virtual_time));
ARBITRARY_MESSAGE(ConfigPull, gen::set(&T::known));
ARBITRARY_MESSAGE(ConfigRecord,
                  gen::set(&T::key),
                  gen::set(&T::version),
                  gen::set(&T::deleted),
                  gen::set(&T::value));
ARBITRARY_MESSAGE(ConfigPush, gen::set(&T::records));
ARBITRARY_MESSAGE(ListedInstance,
                  gen::set(&T::instance),
                  gen::set(&T::role),
                  gen::set(&T::region),
                  gen::set(&T::data_centre),
                  gen::set(&T::process),
                  gen::set(&T::operator_address),
                  gen::set(&T::is_leaving));
ARBITRARY_MESSAGE(InstanceList, gen::set(&T::instances));

}  // namespace rc

namespace jackdawshunt::protocol {
namespace {

absl::StatusOr<std::optional<Message>> DecodeOne(std::string_view frame) {
  Decoder decoder;
  decoder.Append(frame);
  return decoder.Next();
}

template <typename M>
class RoundTripTest : public testing::Test {};

template <typename Variant>
struct AsTypes;
template <typename... M>
struct AsTypes<std::variant<M...>> {
  using Types = testing::Types<M...>;
};

TYPED_TEST_SUITE(RoundTripTest, AsTypes<Message>::Types);

// Guards against fields that the schema omits and against bytes that change
// when encoded and decoded.
TYPED_TEST(RoundTripTest, DecodedMessageEqualsTheEncodedOne) {
  EXPECT_TRUE(rc::check([](const TypeParam& message) {
    const auto decoded = DecodeOne(Encode(message));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded->has_value());
    RC_ASSERT(std::get<TypeParam>(**decoded) == message);
  }));
}

TEST(CodecTest, MessagesAreDecodedFromAStreamOfSingleBytes) {
  const std::string body("\"\xff\0x", 4);
  const std::string stream =
      Encode(Start{.grant = 5, .request = "r", .body = body}) +
      Encode(Counters{.counters = {{"a", {7, 8}, "w", 1.5}}});
  Decoder decoder;
  std::vector<Message> messages;
  for (const char byte : stream) {
    decoder.Append(std::string_view(&byte, 1));
    auto next = decoder.Next();
    ASSERT_TRUE(next.ok()) << next.status();
    if (next->has_value()) {
      messages.push_back(*std::move(*next));
    }
  }
  ASSERT_EQ(messages.size(), 2);
  EXPECT_EQ(std::get<Start>(messages[0]).body, body);
  EXPECT_EQ(std::get<Counters>(messages[1]).counters.at(0).service, 1.5);
}

// Guards against a body of the maximum length that exceeds the frame limit
// because of JSON escapes.
TEST(CodecTest, LongestBodyFitsAFrameDespiteEscapes) {
  const Start start{.body = std::string(size_t{1024} * 1024, '"')};
  EXPECT_LE(Encode(start).size(), kMaxFrameBytes);
  EXPECT_TRUE(DecodeOne(Encode(start)).ok());
}

std::string JsonFrame(std::string_view json) {
  return internal::BuildFrame(FrameKind::kJsonRpc, json);
}

TEST(CodecTest, MalformedFramesAreErrors) {
  const std::string deep(100000, '[');
  const std::string nested_cbor(100000, '\x81');
  const std::string nested_text(100000, '\x7f');
  const std::vector<std::string> frames = {
      std::string("\0\0\0\0", 4),
      std::string("\xff\xff\xff\xff\x01", 5),
      std::string("\0\0\0\x01\x09", 5),
      JsonFrame(""),
      JsonFrame("null"),
      JsonFrame("{"),
      JsonFrame(deep),
      JsonFrame(R"({"jsonrpc":"2.0","method":"start","params":)" + deep),
      JsonFrame(R"({"jsonrpc":"2.0","method":"unknown","params":{}})"),
      JsonFrame(R"({"jsonrpc":"2.0","method":"decline","params":[1]})"),
      JsonFrame(R"({"jsonrpc":"2.0","method":"decline"})"),
      JsonFrame(R"({"jsonrpc":"2.0","method":"decline","params":{},"id":1})"),
      JsonFrame(
          R"({"jsonrpc":"2.0","method":"decline","params":{"grant":-1}})"),
      JsonFrame(R"({"jsonrpc":"2.0","method":"start","params":{"body":1}})"),
      JsonFrame(R"({"jsonrpc":"2.0","method":"bid","params":)"
                R"({"items":[{"service":1e999}]}})"),
      JsonFrame(R"([{"jsonrpc":"2.0","method":"decline","params":{}}])"),
      internal::BuildFrame(FrameKind::kChunk, "\x7f"),
      internal::BuildFrame(FrameKind::kCounters, nested_cbor),
      internal::BuildFrame(FrameKind::kCounters, nested_text),
      internal::BuildFrame(FrameKind::kHandshake, "{}"),
      internal::BuildFrame(FrameKind::kJsonRpcWithBlob, "\x01"),
  };
  for (const std::string& frame : frames) {
    EXPECT_EQ(DecodeOne(frame).status().code(),
              absl::StatusCode::kInvalidArgument)
        << frame.substr(0, 100);
  }
}

// Guards against a message of a newer release closing the connection.
TEST(CodecTest, UnknownFieldsAreIgnoredAndAbsentOnesKeepDefaults) {
  const auto decoded = DecodeOne(JsonFrame(
      R"({"jsonrpc":"2.0","method":"start","params":{"grant":4,"new":{}}})"));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(std::get<Start>(**decoded), (Start{.grant = 4}));
}

// Decodes messages until the decoder needs more bytes or reports an error.
void DecodeAll(std::string_view bytes) {
  Decoder decoder;
  decoder.Append(bytes);
  while (true) {
    const auto next = decoder.Next();
    if (!next.ok() || !next->has_value()) {
      return;
    }
  }
}

// Guards against network input that crashes the process.
RC_GTEST_PROP(CodecFuzzTest, RandomBodiesNeverCrash, ()) {
  const auto kind = *rc::gen::inRange(1, 6);
  const auto body = *rc::gen::arbitrary<std::string>();
  DecodeAll(internal::BuildFrame(static_cast<FrameKind>(kind), body));
  DecodeAll(body);
}

RC_GTEST_PROP(CodecFuzzTest,
              ChangedFramesNeverCrash,
              (const Bid& bid,
               const Counters& counters,
               const ConfigPush& push,
               const Chunk& chunk)) {
  std::string stream =
      Encode(counters) + Encode(bid) + Encode(push) + Encode(chunk);
  const auto changes = *rc::gen::inRange(1, 8);
  for (int i = 0; i < changes; ++i) {
    const auto position = *rc::gen::inRange<size_t>(0, stream.size());
    stream[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  DecodeAll(stream);
}

// Guards against IsBoundedCbor() rejecting encoded counters.
RC_GTEST_PROP(BinaryTest,
              EncodedCountersAreBoundedCbor,
              (const Counters& counters)) {
  const std::string body = internal::EncodeCounters(counters);
  RC_ASSERT(internal::IsBoundedCbor(body));
  RC_ASSERT(!internal::IsBoundedCbor(body.substr(0, body.size() - 1)));
  RC_ASSERT(!internal::IsBoundedCbor(body + "x"));
}

// Guards against entries lost when a long message is split.
TEST(SplitTest, PartsFitTheLimitAndContainAllEntries) {
  constexpr size_t kLimit = 2000;
  Counters counters{.backlogged = {"w1"}};
  for (int i = 0; i < 500; ++i) {
    counters.counters.push_back({"a", {1, 2}, "w" + std::to_string(i), 1.0});
  }
  const auto parts = internal::EncodeParts(counters, kLimit);
  ASSERT_TRUE(parts.ok());
  std::vector<CounterEntry> merged;
  for (const std::string& part : *parts) {
    EXPECT_LE(part.size(), kLimit);
    const auto decoded = DecodeOne(part);
    const auto& content = std::get<Counters>(**decoded);
    EXPECT_EQ(content.backlogged, counters.backlogged);
    merged.insert(merged.end(), content.counters.begin(),
                  content.counters.end());
  }
  EXPECT_EQ(merged, counters.counters);
  EXPECT_EQ(
      internal::EncodeParts(Start{.body = std::string(kLimit, 'x')}, kLimit)
          .status()
          .code(),
      absl::StatusCode::kOutOfRange);
}

}  // namespace
}  // namespace jackdawshunt::protocol
