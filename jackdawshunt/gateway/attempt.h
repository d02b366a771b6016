// One attempt to have a request answered by an upstream, with everything that
// ends with it: the connection, the permit, the claim at the engine's board,
// and what was received.
//
// Example:
//   attempt = std::make_unique<gateway::Attempt>(
//       context, request, owner, decision, gateway::AttemptOptions{});
//   attempt->Send(head, body);
//   // Later the owner's OnAttemptEnded() is called.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_ATTEMPT_H_
#define JACKDAWSHUNT_GATEWAY_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/base/log_line.h"
#include "jackdawshunt/gateway/call_context.h"
#include "jackdawshunt/gateway/response_body.h"
#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/platform/wire.h"

namespace jackdawshunt::gateway {

// What the caller's response began with. Only a response that is alike can
// continue it.
struct BegunResponse {
  int status = 0;
  std::string media_type;  // Without parameters; empty if not stated.

  bool operator==(const BegunResponse&) const = default;
};

struct AttemptOptions {
  // Whether the upstream's limit allows the request.
  bool has_permit = false;
  // The response to the caller, if it has started before this attempt.
  std::optional<BegunResponse> continues;
  // The last event that the caller was sent.
  std::optional<uint64_t> last_event_id;
};

class Attempt final : public http1::ResponseReceiver {
 public:
  // The call that makes the attempt. The callbacks may make another attempt,
  // but must not destroy this one before they return.
  class Owner {
   public:
    virtual bool HasCallerLeft() const = 0;
    // Called before the first event of the response is forwarded.
    virtual void OnFirstEvent() = 0;
    // Sends `data` to the caller. Returns the number of
    // bytes that wait to be written to the caller's connection.
    virtual size_t Forward(std::string_view data) = 0;
    // Takes room for `bytes` of a response that is kept. Returns false if there
    // is none.
    virtual bool HoldAnswer(size_t bytes) = 0;
    // Returns how many bytes may wait for the caller before reading from the
    // upstream pauses.
    virtual size_t MaxUnreadBytes() const = 0;
    // Called once, unless the attempt was abandoned.
    virtual void OnAttemptEnded(routing::Outcome outcome) = 0;
    // Called instead if the attempt was abandoned because the caller left.
    virtual void OnCallerLeft() = 0;

   protected:
    ~Owner() = default;
  };

  // `context`, `request` and `owner` must outlive the attempt.
  Attempt(CallContext& context,
          routing::RoutedRequest& request,
          Owner& owner,
          const routing::Decision& decision,
          const AttemptOptions& options);
  // Abandons the attempt if it has not ended.
  ~Attempt() override;
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Sends the request to the upstream; call once.
  void Send(const http1::RequestHead& head,
            const std::shared_ptr<const std::string>& body);
  // Resumes reading from the upstream; call when the bytes that waited for the
  // caller have been written.
  void OnCallerDrained();
  // Ends the attempt, if it has not ended, before its response is complete.
  void Abandon();
  // Ends the attempt at the request's deadline.
  void EndAtDeadline();

  // Returns whether the attempt has not ended.
  bool is_running() const { return connection_ != nullptr; }
  // Returns whether the upstream has begun to answer the request itself.
  bool has_answer() const;
  // Returns whether the response, as far as it was received, is not given to
  // the caller.
  bool is_discarded() const {
    return body_ == nullptr || !body_->is_for_caller();
  }
  // Returns whether another upstream can continue what was forwarded.
  bool is_resumable() const {
    return body_ == nullptr || body_->is_resumable();
  }
  // Returns the bytes that are kept until the response is complete; nullopt if
  // they are forwarded as they arrive.
  std::optional<std::string_view> kept_body() const {
    return body_ == nullptr ? std::nullopt : body_->kept();
  }
  // Returns the head for the caller's response.
  const http1::ResponseHead& head() const { return head_; }
  // Returns what a response with this head begins with.
  BegunResponse begun() const;
  const routing::Upstream& upstream() const { return upstream_; }
  // Returns the last event that the caller was sent, now or before.
  std::optional<uint64_t> last_event_id() const;
  // Returns the number of events of this attempt.
  uint64_t event_count() const;
  // Adds what may put bytes of another response into this one.
  void AddIrregularities(base::LogLine& line) const;

  // http1::ResponseReceiver:
  bool IsStillWanted() override;
  bool MatchesRequest(const http1::ResponseHead& head) override;
  void OnHead(const http1::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  bool MayContinueWithStatusLine() override;
  bool IsOtherResponse(const http1::ResponseHead& head) override;
  void OnEnd() override;
  void OnLost(http1::Loss loss) override;

 private:
  // What may put bytes of another response into the one of an attempt.
  struct Irregularities {
    bool is_unframed = false;  // The response has neither length nor chunks.
    int skipped_answers = 0;   // To other requests, before this one.
    // Why the response was ended before bytes that are no part of it; empty if
    // it was not.
    std::string_view cut_before;
  };

  std::unique_ptr<ResponseBody> MakeBody() const;
  // Takes room for `bytes` of the response that are kept, or forwards what is
  // kept if there is none.
  void HoldKept(size_t bytes);
  // Records an event, or a part of one, of the response.
  void OnEventData(bool has_whole_event);
  // Ends the attempt, whose response is not forwarded, without the rest of it.
  void StopDiscarding();
  // Handles a response whose end only the end of its connection marked: it is
  // complete, or lost if the start of the upstream may have ended too.
  void OnUnframedEnd(bool may_upstream_have_ended);
  void OnComplete();
  // Ends the attempt and releases its connection to the pool.
  void End(routing::Outcome outcome);
  void EndAndNotify(routing::Outcome outcome);
  // Records that the response ends before bytes that are no part of it.
  void CutBefore(std::string_view what);
  // Applies what the response's head tells of the upstream itself.
  void ApplyUpstreamState();
  void ApplyUpstreamLimit();
  void LogUpstreamState(std::string_view state, kernel::Duration time);
  // Counts the change of state and adds the fields that all such lines have.
  void AddUpstreamState(base::LogLine& line, std::string_view state);
  void LogLoss(http1::Loss loss);
  void ReportProgress(board::Progress progress);
  kernel::TimePoint Now() const { return context_.Now(); }

  CallContext& context_;
  routing::RoutedRequest& request_;
  Owner& owner_;
  const routing::Decision decision_;
  const routing::Upstream& upstream_;
  const AttemptOptions options_;
  UpstreamPool::Connection connection_;
  int64_t sent_unix_ms_ = 0;
  std::optional<kernel::TimePoint> first_event_at_;
  platform::UpstreamAnswer answer_;
  http1::ResponseHead head_;
  std::unique_ptr<ResponseBody> body_;  // Null before the head.
  size_t held_bytes_ = 0;               // That the owner holds for `body_`.
  Irregularities irregularities_;
  kernel::Timer discard_timer_;
  StartChecks::Handle start_check_;
  bool is_reading_paused_ = false;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_ATTEMPT_H_
