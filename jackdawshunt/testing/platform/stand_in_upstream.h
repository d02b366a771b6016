// Stand-in for an upstream of the users' platform: an engine that streams
// events, or a plain service. It records every run, for checks.
//
// Example:
//   testing::StandInUpstream engine(loop, {"127.0.2.1", 0},
//                                   {.id = "i-1", .service = "llm"}, runs);
//   engine.SetFault(testing::UpstreamFault::kErrors);
//
// It can be cold: it then takes only some requests a second, and ends when it
// is sent well more.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_STAND_IN_UPSTREAM_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_STAND_IN_UPSTREAM_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::testing {

enum class UpstreamFault {
  kNone,
  kErrors,    // Runs, then answers 500.
  kShed,      // Does not run: 503 with the mark for that.
  kFalse503,  // Runs, then answers 503 without the mark.
  kHang,      // Runs and never answers.
  kReset,     // Runs and resets the connection.
  kTruncate,  // Breaks the answer off.
  kGarbage,   // Sends bytes that are not an answer.
  kExtra,     // Sends its answer twice.
  kForeign,   // Sends another request's answer first.
  kUnsealed,  // Leaves its signature out.
  kUnframed,  // Marks the end of the answer by closing.
  // Only of engines: ends the answer in order inside its first event.
  kEndInsideEvent,
  kHoldOff,  // Does not run: 503 with Retry-After of two seconds.
  // Runs, then sends until the other side closes:
  kEndlessHead,       // Header fields.
  kEndlessInterim,    // Interim responses.
  kEndlessDiscarded,  // The body of an answer without a signature.
  // A second answer to the same request, late: where the next answer on its
  // connection is expected.
  kLateLength,     // With a length.
  kLateChunked,    // In chunks.
  kLateNoContent,  // 204.
  kLateRefusal,    // 503: not executed, leaving, Retry-After of two seconds.
  // An answer without length or chunks that is followed by another one before
  // the connection closes:
  kUnframedSecond,   // To the same request.
  kUnframedEarlier,  // To an earlier request on the connection, if any.
  kUnframedRefusal,  // To the same request, as kLateRefusal.
  kUnframedCut,      // To the same request, after half of the first.
  // An unframed stream that is followed by the events of a second run.
  kUnframedSecondRun,
  // An answer without length or chunks that is reset on the way: inside an
  // event, or between two; in the middle of the body of a plain service.
  kCutInsideEvent,
  kCutBetweenEvents,
  // Faults that the soak does not draw, so that its seeds keep their meaning:
  // As kUnframedSecond, but to a request that nobody sent.
  kUnframedForeign,
  kStatusZero,  // Runs, then answers with the status 000.
  // Runs, then sends a part and nothing more:
  kUnendedHead,   // Of a head that has many short fields.
  kUnendedEvent,  // Of the first event of a stream.
  kUnendedLines,  // The same in short lines, each byte in a chunk of its own.
  // Runs, then sends its head without the blank line, and ends the connection:
  kCutHead,  // In order.
  kCutHeadByReset,
};
inline constexpr UpstreamFault kLastUpstreamFault =
    UpstreamFault::kCutBetweenEvents;

// One run of a request at an upstream.
struct UpstreamRun {
  std::string upstream;
  std::string service;
  std::string version;  // Of the upstream's software.
  std::string workspace;
  std::string prompt_parts;  // As the caller listed them.
  bool carried_key = false;
  uint64_t from_event = 0;  // First event that was asked for.
  kernel::TimePoint began{};
  kernel::TimePoint ended{};  // Zero while it runs.
  bool was_cancelled = false;
};

// Requests that a cold upstream may be sent in any second, as a factor of the
// rate that it takes and a number on top. One more ends it.
inline constexpr double kColdOverage = 1.5;
inline constexpr double kColdSlack = 5;

// Returns the most times in any second; `times` are in order.
size_t MostInASecond(const std::vector<kernel::TimePoint>& times);

// Runs by request id, over all upstreams.
using RunLog = std::map<std::string, std::vector<UpstreamRun>>;

struct StandInUpstreamOptions {
  std::string id;
  std::string service;
  std::string version = "v1";  // Of its software; written into each event.
  std::string data_centre = "z";
  int64_t born_unix_ms = 0;  // When it started, as its record says.
  bool is_engine = true;
  uint32_t events = 5;  // Of one stream.
  kernel::Duration event_gap = std::chrono::milliseconds(10);
  kernel::Duration work = std::chrono::milliseconds(5);  // Before an answer.
  size_t answer_bytes = 0;  // Least size of the answers of a plain service.
};

class StandInUpstream final : public http1::ServerConnection::Handler {
 public:
  StandInUpstream(kernel::EventLoop& loop,
                  const http::Address& address,
                  StandInUpstreamOptions options,
                  RunLog& runs);
  ~StandInUpstream() override;

  uint16_t port() const { return listener_->port(); }
  const StandInUpstreamOptions& options() const { return options_; }
  void SetFault(UpstreamFault fault) { fault_ = fault; }
  // Says in all answers that it leaves.
  void SetLeaving(bool is_leaving) { is_leaving_ = is_leaving; }
  // Is told the id of the request whose run ends the upstream.
  using CrashFunction = std::function<void(const std::string& request)>;
  // Calls `crash` when it begins an answer to a prompt that holds this part,
  // not as the last one. An empty part means that there is none.
  void SetDeadlyPart(std::string part, CrashFunction crash);
  // Calls `crash` when it begins an answer to a request whose target or body
  // holds this marker. An empty marker means that there is none.
  void SetDeadlyRequest(std::string marker, CrashFunction crash);
  // Makes it cold for `time` from now on. It calls `crash` in a later turn of
  // the loop once it has been sent more than `per_second` x kColdOverage +
  // kColdSlack requests in one second of that time. Requests for another start
  // or upstream, which it answers with 421, do not count.
  void SetCold(double per_second,
               kernel::Duration time,
               std::function<void()> crash);
  // Returns how much longer it stays cold; zero if it is not.
  kernel::Duration cold_remaining() const;
  // Names this limit of requests a second in all answers; none if absent.
  void SetLimit(std::optional<double> per_second) { limit_ = per_second; }
  // Requests that arrived, run or not.
  size_t arrivals() const { return arrival_log_.size(); }
  struct Arrival {
    std::string request;
    kernel::TimePoint at{};
  };
  const std::vector<Arrival>& arrival_log() const { return arrival_log_; }
  // Answers that are being sent without end.
  size_t endless() const { return endless_.size(); }
  // Ends all connections, as a crash does.
  void Crash();
  // Ends as a process does whose answers have neither length nor chunks: their
  // connections are closed in order, as at their ends. Accepts no others.
  void StopInOrder();
  // Closes these connections in order and goes on accepting others, as where
  // another process takes the address over at once.
  void EndAnswersInOrder();
  // Ends all connections and accepts no others; port() must not be called
  // afterwards.
  void Stop();

  // The whole body that a caller of this request must get from upstreams of
  // this software version.
  static std::string ExpectedBody(const std::string& request_id,
                                  bool is_engine,
                                  uint32_t events,
                                  const std::string& version = "v1");
  static std::string Event(const std::string& request_id,
                           uint64_t id,
                           const std::string& version);

  // http1::ServerConnection::Handler:
  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& body) override;
  void OnRequestError(http1::ServerConnection& connection,
                      http1::RequestError fault) override;
  void OnDrained(http1::ServerConnection&) override {}
  void OnClosed(http1::ServerConnection& connection) override;

 private:
  struct Job {
    std::string request;
    size_t run = 0;       // Index in the log.
    CrashFunction crash;  // Null unless the request is deadly.
    uint64_t next_event = 1;
    kernel::Timer timer;
  };

  // Returns whether the prompt of the request holds the deadly part.
  bool HoldsDeadlyPart(const http1::RequestHead& head) const;
  // Returns whether the latest arrival is one too many for a cold upstream.
  bool IsOverloadedCold() const;
  bool IsDeadlyRequest(const http1::RequestHead& head,
                       const std::string& body) const;
  void Respond(http1::ServerConnection& connection);
  void SendEvent(http1::ServerConnection& connection);
  // Ends the answer to `request`, followed by a second one if the fault asks
  // for it.
  void FinishAnswer(http1::ServerConnection& connection,
                    const std::string& request);
  // Returns the second answer to `request` that the fault asks for.
  std::string SecondAnswer(const std::string& request) const;
  // Sends the late answer of the connection, if any.
  void SendLate(http1::ServerConnection& connection);
  // Sends the first half of an answer without length or chunks, then resets the
  // connection.
  void CutUnframed(http1::ServerConnection& connection,
                   const std::string& request,
                   const std::string& body);
  // Sends a head of 200 without its last line, then ends the connection.
  void CutHead(http1::ServerConnection& connection,
               const std::string& request,
               size_t body_bytes);
  // Sends `piece` again and again until the connection ends.
  void SendForever(http1::ServerConnection& connection,
                   const std::string& piece);
  void End(http1::ServerConnection& connection, bool is_cancelled);
  http1::ResponseHead Head(const std::string& request, int status) const;

  kernel::EventLoop& loop_;
  const StandInUpstreamOptions options_;
  RunLog& runs_;
  std::unique_ptr<http1::Listener> listener_;
  http1::ConnectionSet connections_;
  std::unordered_map<http1::ServerConnection*, Job> jobs_;
  // Answers that never end.
  std::unordered_map<http1::ServerConnection*, kernel::Timer> endless_;
  // Second answers that are still to be sent.
  struct LateAnswer {
    std::string text;
    kernel::Timer timer;
  };
  std::unordered_map<http1::ServerConnection*, LateAnswer> late_;
  // The latest two requests that were run on each connection, the newest last.
  std::unordered_map<http1::ServerConnection*, std::array<std::string, 2>>
      latest_;

  UpstreamFault fault_ = UpstreamFault::kNone;
  std::string deadly_part_;
  CrashFunction crash_for_part_;
  std::string deadly_marker_;
  CrashFunction crash_for_request_;
  bool is_leaving_ = false;
  std::optional<double> limit_;
  double cold_per_second_ = 0;
  kernel::TimePoint cold_since_{};
  kernel::TimePoint cold_until_{};
  std::function<void()> crash_cold_;  // Null once called.
  std::vector<Arrival> arrival_log_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_STAND_IN_UPSTREAM_H_
