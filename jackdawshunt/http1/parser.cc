#include "jackdawshunt/http1/parser.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "http_parser.h"
#include "jackdawshunt/http1/internal/header_collector.h"
#include "jackdawshunt/http1/internal/release.h"

namespace jackdawshunt::http1 {
namespace {

using internal::HeaderCollector;

// Upstreams send few headers, so a larger head, together with all interim
// responses before it, is treated as malformed; so is one whose fields take
// more memory than this.
constexpr size_t kMaxResponseHeadBytes = size_t{64} * 1024;
constexpr int kMaxInterimResponses = 32;
constexpr size_t kMinBodyCapacity = 1024;
constexpr size_t kBodyGrowthDivisor = 4;
// The beginning of a head. '#' stands for a digit, '~' for a blank or the end
// of the line. http_parser also accepts more digits and blanks.
constexpr std::string_view kStatusLine = "HTTP/1.# ###~";
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

bool IsLineEnd(char c) {
  return c == '\r' || c == '\n';
}

// Returns whether `c` may stand in place of `expected` in kStatusLine.
bool MatchesStatusLine(char expected, char c) {
  switch (expected) {
    case '#':
      return absl::ascii_isdigit(static_cast<unsigned char>(c));
    case '~':
      return c == ' ' || IsLineEnd(c);
    default:
      return c == expected;
  }
}

template <typename Owner>
Owner& OwnerOf(http_parser* parser) {
  return *static_cast<Owner*>(parser->data);
}

// Sets the callbacks that requests and responses share. `Owner` must have the
// members `collector` and `state`.
template <typename Owner>
void SetHeaderCallbacks(http_parser_settings& settings) {
  settings.on_message_begin = [](http_parser* parser) {
    OwnerOf<Owner>(parser).state = ParseState::kHead;
    return 0;
  };
  // Fields after the head are trailers, which are dropped.
  settings.on_header_field = [](http_parser* parser, const char* at,
                                size_t length) {
    Owner& owner = OwnerOf<Owner>(parser);
    if (owner.state != ParseState::kBody) {
      owner.collector.AppendName({at, length});
    }
    return 0;
  };
  settings.on_header_value = [](http_parser* parser, const char* at,
                                size_t length) {
    Owner& owner = OwnerOf<Owner>(parser);
    if (owner.state != ParseState::kBody) {
      owner.collector.AppendValue({at, length});
    }
    return 0;
  };
}

}  // namespace

struct RequestParser::Impl {
  Impl(ParseLimits with_limits, MayHold with_may_hold)
      : limits(with_limits), may_hold(std::move(with_may_hold)) {
    Start();
  }

  void Start() {
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = this;
    state = ParseState::kStart;
    error = ParseError::kNone;
    Release();
    head_bytes = 0;
    keep_alive = false;
    expects_continue = false;
    drops_body = false;
  }

  // Ends the message and releases its memory.
  void Fail(ParseError kind) {
    state = ParseState::kInvalid;
    error = kind;
    Release();
  }

  void Release() {
    internal::Release(head);
    head_memory = 0;
    internal::Release(body);
    collector.Clear();
  }

  size_t head_bytes_held() const {
    return head_memory + collector.memory_bytes() + 2 * head.target.size();
  }
  size_t held_bytes() const {
    return head_bytes_held() + (body.empty() ? 0 : body.capacity());
  }

  // Makes room for `more` bytes of the body and no more than a part beyond;
  // std::string itself would double its capacity. Returns false if there is no
  // room.
  bool GrowBody(size_t more) {
    const size_t needed = body.size() + more;
    if (needed <= body.capacity()) {
      return true;
    }
    size_t capacity =
        std::max(needed + needed / kBodyGrowthDivisor, kMinBodyCapacity);
    if ((parser.flags & F_CHUNKED) == 0) {
      // What is still to come of the announced length, with `more`.
      capacity = std::min(capacity, body.size() + more + parser.content_length);
    }
    if (may_hold && !may_hold(head_bytes_held() + capacity)) {
      return false;
    }
    std::string grown;
    grown.reserve(capacity);
    grown.append(body);
    body.swap(grown);
    return true;
  }

  // Validates the complete head. Returns non-zero, which stops http_parser, if
  // the head is invalid.
  int FinishHead() {
    head_memory = collector.memory_bytes();
    head.method = http_method_str(static_cast<http_method>(parser.method));
    head.headers = collector.Take();
    const bool is_http_1_1 = parser.http_major == 1 && parser.http_minor == 1;
    if (!is_http_1_1 || !internal::AreValidHeaders(head.headers) ||
        parser.method == HTTP_CONNECT) {
      Fail(ParseError::kMalformed);
      return -1;
    }
    keep_alive = http_should_keep_alive(&parser) != 0;
    parser.upgrade = 0;  // Upgrades are not supported; the body follows.
    const std::string_view expect = http::FindHeader(head.headers, "Expect");
    expects_continue = EqualsIgnoreCase(expect, "100-continue");
    if (parser.content_length != ULLONG_MAX &&
        parser.content_length > limits.body_bytes) {
      Fail(ParseError::kBodyTooLarge);
      return -1;
    }
    state = ParseState::kBody;
    return 0;
  }

  // Parses `data`, which is not empty, or the first part of it. Returns the
  // number of bytes consumed.
  size_t FeedPart(std::string_view data) {
    static const http_parser_settings settings = MakeSettings();
    const bool in_head = state != ParseState::kBody;
    if (in_head) {
      // One byte beyond the limit shows that the head exceeds it.
      data = data.substr(0, limits.header_bytes - head_bytes + 1);
    }
    const size_t consumed =
        http_parser_execute(&parser, &settings, data.data(), data.size());
    if (state == ParseState::kComplete) {
      return consumed;
    }
    if (state != ParseState::kInvalid && HTTP_PARSER_ERRNO(&parser) != HPE_OK) {
      Fail(HTTP_PARSER_ERRNO(&parser) == HPE_HEADER_OVERFLOW
               ? ParseError::kHeadTooLarge
               : ParseError::kMalformed);
    }
    if (in_head) {
      head_bytes += consumed;
      // The blank lines before a request count, too.
      const bool is_incomplete =
          state == ParseState::kStart || state == ParseState::kHead;
      if (is_incomplete && head_bytes > limits.header_bytes) {
        Fail(ParseError::kHeadTooLarge);
      } else if (state == ParseState::kHead && may_hold &&
                 !may_hold(held_bytes())) {
        Fail(ParseError::kNoMemory);
      }
    }
    return consumed;
  }

  static http_parser_settings MakeSettings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    SetHeaderCallbacks<Impl>(settings);
    settings.on_url = [](http_parser* parser, const char* at, size_t length) {
      OwnerOf<Impl>(parser).head.target.append(at, length);
      return 0;
    };
    settings.on_headers_complete = [](http_parser* parser) {
      return OwnerOf<Impl>(parser).FinishHead();
    };
    settings.on_body = [](http_parser* parser, const char* at, size_t length) {
      Impl& self = OwnerOf<Impl>(parser);
      if (self.body.size() + length > self.limits.body_bytes) {
        self.Fail(ParseError::kBodyTooLarge);
        return -1;
      }
      if (self.drops_body) {
        return 0;
      }
      if (!self.GrowBody(length)) {
        self.Fail(ParseError::kNoMemory);
        return -1;
      }
      self.body.append(at, length);
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      OwnerOf<Impl>(parser).state = ParseState::kComplete;
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }

  http_parser parser;
  ParseLimits limits;
  const MayHold may_hold;
  ParseState state = ParseState::kStart;
  ParseError error = ParseError::kNone;
  RequestHead head;
  std::string body;
  HeaderCollector collector;
  size_t head_bytes = 0;
  size_t head_memory = 0;  // Of the complete head.
  bool keep_alive = false;
  bool expects_continue = false;
  bool drops_body = false;
};

RequestParser::RequestParser(ParseLimits limits, MayHold may_hold)
    : impl_(std::make_unique<Impl>(limits, std::move(may_hold))) {}
RequestParser::~RequestParser() = default;

size_t RequestParser::Feed(std::string_view data) {
  size_t consumed = 0;
  while (impl_->state != ParseState::kComplete &&
         impl_->state != ParseState::kInvalid && consumed < data.size()) {
    consumed += impl_->FeedPart(data.substr(consumed));
  }
  return consumed;
}

void RequestParser::Reset() {
  impl_->Start();
}
void RequestParser::DropBody() {
  internal::Release(impl_->body);
  impl_->drops_body = true;
}
void RequestParser::Abandon() {
  impl_->Fail(ParseError::kNoMemory);
}
void RequestParser::set_limits(ParseLimits limits) {
  impl_->limits = limits;
}
ParseState RequestParser::state() const {
  return impl_->state;
}
ParseError RequestParser::error() const {
  return impl_->error;
}
const RequestHead& RequestParser::head() const {
  return impl_->head;
}
std::string& RequestParser::body() {
  return impl_->body;
}
size_t RequestParser::held_bytes() const {
  return impl_->held_bytes();
}
std::optional<uint64_t> RequestParser::remaining_bytes() const {
  return (impl_->parser.flags & F_CHUNKED) != 0
             ? std::nullopt
             : std::optional(impl_->parser.content_length);
}
bool RequestParser::keep_alive() const {
  return impl_->keep_alive;
}
bool RequestParser::expects_continue() const {
  return impl_->expects_continue;
}

struct ResponseParser::Impl {
  Impl() { Start(false); }

  void Start(bool is_to_head_request) {
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = this;
    state = ParseState::kStart;
    collector.Clear();
    head_bytes = 0;
    status_line_bytes = 0;
    keep_alive = false;
    to_head_request = is_to_head_request;
    is_informational = false;
    interim_responses = 0;
    was_ended_by_close = false;
    is_unframed = false;
  }

  // Compares `data`, the next bytes of the head, with kStatusLine and returns
  // the number of bytes that may begin a head.
  size_t MatchStatusLine(std::string_view data) {
    size_t matched = 0;
    while (matched < data.size() && status_line_bytes < kStatusLine.size()) {
      const char next = data[matched];
      const bool is_blank_line = status_line_bytes == 0 && IsLineEnd(next);
      if (!is_blank_line) {
        if (!MatchesStatusLine(kStatusLine[status_line_bytes], next)) {
          return matched;
        }
        ++status_line_bytes;
      }
      ++matched;
    }
    return data.size();
  }

  int FinishHead() {
    ResponseHead head;
    head.status = static_cast<int>(parser.status_code);
    const bool is_too_large = collector.memory_bytes() > kMaxResponseHeadBytes;
    head.headers = collector.Take();
    is_informational = head.status < 200;
    interim_responses += is_informational ? 1 : 0;
    if (is_too_large || !internal::AreValidHeaders(head.headers) ||
        parser.http_major != 1 || head.status < kMinStatus ||
        head.status > kMaxStatus || head.status == 101 ||
        interim_responses > kMaxInterimResponses) {
      state = ParseState::kInvalid;
      return -1;
    }
    parser.upgrade = 0;
    if (!is_informational) {
      state = ParseState::kBody;
      is_unframed = !to_head_request && !IsBodiless(head.status) &&
                    (parser.flags & F_CHUNKED) == 0 &&
                    parser.content_length == ULLONG_MAX;
      sink->OnHead(head);
    }
    return to_head_request ? 1 : 0;
  }

  // Parses `data`, which is not empty, up to the end of a message. Returns the
  // number of bytes consumed.
  size_t FeedPart(std::string_view data) {
    const bool in_head = state != ParseState::kBody;
    if (in_head) {
      const size_t matched = MatchStatusLine(data);
      if (matched < data.size()) {
        state = ParseState::kInvalid;
        return matched;
      }
    }
    const size_t consumed =
        http_parser_execute(&parser, &Settings(), data.data(), data.size());
    if (state == ParseState::kComplete) {
      return consumed;
    }
    if (HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED) {
      http_parser_pause(&parser, 0);
    } else if (HTTP_PARSER_ERRNO(&parser) != HPE_OK) {
      state = ParseState::kInvalid;
    }
    if (in_head && state != ParseState::kBody) {
      head_bytes += consumed;
      if (head_bytes > kMaxResponseHeadBytes ||
          collector.memory_bytes() > kMaxResponseHeadBytes) {
        state = ParseState::kInvalid;
      }
    }
    return consumed;
  }

  static http_parser_settings MakeSettings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    SetHeaderCallbacks<Impl>(settings);
    settings.on_headers_complete = [](http_parser* parser) {
      return OwnerOf<Impl>(parser).FinishHead();
    };
    settings.on_body = [](http_parser* parser, const char* at, size_t length) {
      OwnerOf<Impl>(parser).sink->OnBody({at, length});
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      Impl& self = OwnerOf<Impl>(parser);
      // Stops behind the message, where the next head begins.
      http_parser_pause(parser, 1);
      if (self.is_informational) {
        self.state = ParseState::kStart;
        self.status_line_bytes = 0;
        return 0;
      }
      self.keep_alive = http_should_keep_alive(parser) != 0;
      self.state = ParseState::kComplete;
      return 0;
    };
    return settings;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = MakeSettings();
    return settings;
  }

  http_parser parser;
  ParseState state = ParseState::kStart;
  HeaderCollector collector;
  ResponseSink* sink = nullptr;
  size_t head_bytes = 0;
  size_t status_line_bytes = 0;  // That match kStatusLine.
  bool keep_alive = false;
  bool to_head_request = false;
  bool is_informational = false;
  int interim_responses = 0;
  bool was_ended_by_close = false;
  bool is_unframed = false;
};

ResponseParser::ResponseParser() : impl_(std::make_unique<Impl>()) {}
ResponseParser::~ResponseParser() = default;

size_t ResponseParser::Feed(std::string_view data, ResponseSink& sink) {
  Impl& self = *impl_;
  self.sink = &sink;
  size_t consumed = 0;
  // Each interim response ends a part.
  while (self.state != ParseState::kComplete &&
         self.state != ParseState::kInvalid && consumed < data.size()) {
    consumed += self.FeedPart(data.substr(consumed));
  }
  return consumed;
}

void ResponseParser::FeedEnd(ResponseSink& sink) {
  Impl& self = *impl_;
  if (self.state != ParseState::kBody) {
    return;
  }
  self.sink = &sink;
  http_parser_execute(&self.parser, &Impl::Settings(), nullptr, 0);
  if (self.state != ParseState::kComplete) {
    self.state = ParseState::kInvalid;
  }
  self.was_ended_by_close = true;
}

void ResponseParser::Reset(bool to_head_request) {
  impl_->Start(to_head_request);
}
ParseState ResponseParser::state() const {
  return impl_->state;
}
bool ResponseParser::keep_alive() const {
  return impl_->keep_alive;
}
bool ResponseParser::is_unframed() const {
  return impl_->is_unframed;
}
bool ResponseParser::was_ended_by_close() const {
  return impl_->was_ended_by_close;
}

}  // namespace jackdawshunt::http1
