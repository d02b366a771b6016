// Finds the head of another response inside a body without length or chunks.
//
// Example:
//   internal::EmbeddedHeadScanner scanner(owner);
//   bool is_body = scanner.Feed(bytes);  // Passes the body to `owner`.
//   is_body = is_body && scanner.FeedEnd();
//
// Only the end of its connection marks the end of such a body, so a second
// response that is sent on the connection is received as a part of it. Bytes
// that may be the head of one are held back until that is known. Not
// thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_EMBEDDED_HEAD_SCANNER_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_EMBEDDED_HEAD_SCANNER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jackdawshunt/http1/message.h"
#include "jackdawshunt/http1/parser.h"

namespace jackdawshunt::http1::internal {

class EmbeddedHeadScanner final : ResponseSink {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnScannedBody(std::string_view data) = 0;
    // Returns whether the body may go on with bytes like a status line.
    virtual bool MayContinueWithStatusLine() = 0;
    // Returns whether `head` begins another response and is no part of the
    // body.
    virtual bool IsOtherResponse(const ResponseHead& head) = 0;
  };

  explicit EmbeddedHeadScanner(Owner& owner);

  // Passes `data` to the owner up to the head of another response. Returns
  // false if there is one; then neither Feed() nor FeedEnd() may follow.
  bool Feed(std::string_view data);
  // Passes on what was held back at the end of the body. Returns false if that
  // may be the beginning of another response.
  bool FeedEnd();
  // Starts with a new body.
  void Reset();

 private:
  // Passes on the bytes before the next candidate. Returns whether there is
  // one, which `held_` then begins with.
  bool FindCandidate();
  // Passes on the first `size` bytes of `held_`.
  void PassOn(size_t size);

  // ResponseSink:
  void OnHead(const ResponseHead& head) override;
  void OnBody(std::string_view /*data*/) override {}

  Owner& owner_;
  std::string held_;
  bool has_candidate_ = false;
  // Of the candidate:
  ResponseParser parser_;
  size_t parsed_bytes_ = 0;
  bool is_other_response_ = false;
  size_t rejected_bytes_ = 0;  // Of all candidates in this body.
};

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_EMBEDDED_HEAD_SCANNER_H_
