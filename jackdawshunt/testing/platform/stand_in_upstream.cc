#include "jackdawshunt/testing/platform/stand_in_upstream.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace jackdawshunt::testing {
namespace {

constexpr char kNotRun[] = "Not-Executed";
constexpr char kSignature[] = "Response-Seal";

// Time from an answer to a second one.
constexpr kernel::Duration kSecondAnswerDelay = std::chrono::milliseconds(20);

// Below the limits at which a gateway gives up a head, or splits an event.
constexpr size_t kUnendedFields = 15000;
constexpr size_t kUnendedBytes = size_t{255} * 1024;
// Before the reset of a connection, which discards what has not been read.
constexpr kernel::Duration kReadTime = std::chrono::milliseconds(20);

std::string Repeat(std::string_view piece, size_t count) {
  std::string text;
  text.reserve(piece.size() * count);
  for (size_t i = 0; i < count; ++i) {
    text.append(piece);
  }
  return text;
}

std::string Text(std::string_view view) {
  return std::string(view);
}

bool IsUnframed(UpstreamFault fault) {
  return fault == UpstreamFault::kUnframed ||
         fault == UpstreamFault::kUnframedSecond ||
         fault == UpstreamFault::kUnframedEarlier ||
         fault == UpstreamFault::kUnframedRefusal ||
         fault == UpstreamFault::kUnframedCut ||
         fault == UpstreamFault::kUnframedForeign ||
         fault == UpstreamFault::kUnframedSecondRun;
}

bool IsLate(UpstreamFault fault) {
  return fault == UpstreamFault::kLateLength ||
         fault == UpstreamFault::kLateChunked ||
         fault == UpstreamFault::kLateNoContent ||
         fault == UpstreamFault::kLateRefusal;
}

// Returns the bytes of an answer that is framed as `fault` asks for.
std::string Frame(UpstreamFault fault,
                  const http1::ResponseHead& head,
                  const std::string& body) {
  if (fault == UpstreamFault::kLateChunked) {
    std::string text = http1::Serialize(head, http1::BodyFraming::Chunked());
    http1::AppendChunk(body, text);
    return text.append(http1::kLastChunk);
  }
  return http1::Serialize(head, http1::BodyFraming::Length(body.size())) + body;
}

}  // namespace

size_t MostInASecond(const std::vector<kernel::TimePoint>& times) {
  size_t most = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= std::chrono::seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

StandInUpstream::StandInUpstream(kernel::EventLoop& loop,
                                 const http::Address& address,
                                 StandInUpstreamOptions options,
                                 RunLog& runs)
    : loop_(loop),
      options_(std::move(options)),
      runs_(runs),
      connections_(loop, *this) {
  listener_ = *http1::Listener::Bind(loop, address,
                                     [this](int fd) { connections_.Add(fd); });
}

StandInUpstream::~StandInUpstream() = default;

std::string StandInUpstream::Event(const std::string& request_id,
                                   uint64_t id,
                                   const std::string& version) {
  return absl::StrCat("id: ", id, "\ndata: ", request_id, "-", id, " ", version,
                      "\n\n");
}

std::string StandInUpstream::ExpectedBody(const std::string& request_id,
                                          bool is_engine,
                                          uint32_t events,
                                          const std::string& version) {
  if (!is_engine) {
    return absl::StrCat("result of ", request_id);
  }
  std::string body;
  for (uint32_t id = 1; id <= events; ++id) {
    body += Event(request_id, id, version);
  }
  return body;
}

http1::ResponseHead StandInUpstream::Head(const std::string& request,
                                          int status) const {
  http1::ResponseHead head;
  head.status = status;
  head.headers = {{"Request-Id", request}, {"Instance-Id", options_.id}};
  if (is_leaving_) {
    head.headers.emplace_back("Server-Leaving", "1");
  }
  if (limit_.has_value()) {
    head.headers.emplace_back("Server-Limit", absl::StrCat(*limit_));
  }
  if (fault_ != UpstreamFault::kUnsealed) {
    head.headers.emplace_back(kSignature, absl::StrCat("seal.", request));
  }
  return head;
}

void StandInUpstream::SetDeadlyPart(std::string part, CrashFunction crash) {
  deadly_part_ = std::move(part);
  crash_for_part_ = std::move(crash);
}

void StandInUpstream::SetDeadlyRequest(std::string marker,
                                       CrashFunction crash) {
  deadly_marker_ = std::move(marker);
  crash_for_request_ = std::move(crash);
}

void StandInUpstream::SetCold(double per_second,
                              kernel::Duration time,
                              std::function<void()> crash) {
  cold_per_second_ = per_second;
  cold_since_ = loop_.clock().Now();
  cold_until_ = cold_since_ + time;
  crash_cold_ = std::move(crash);
}

kernel::Duration StandInUpstream::cold_remaining() const {
  return std::max(kernel::Duration::zero(), cold_until_ - loop_.clock().Now());
}

bool StandInUpstream::IsOverloadedCold() const {
  if (cold_remaining() == kernel::Duration::zero()) {
    return false;
  }
  const kernel::TimePoint from =
      std::max(cold_since_, loop_.clock().Now() - std::chrono::seconds(1));
  const auto count =
      std::count_if(arrival_log_.begin(), arrival_log_.end(),
                    [&](const Arrival& arrival) { return arrival.at > from; });
  return static_cast<double>(count) >
         cold_per_second_ * kColdOverage + kColdSlack;
}

bool StandInUpstream::IsDeadlyRequest(const http1::RequestHead& head,
                                      const std::string& body) const {
  return !deadly_marker_.empty() &&
         (absl::StrContains(head.target, deadly_marker_) ||
          absl::StrContains(body, deadly_marker_));
}

bool StandInUpstream::HoldsDeadlyPart(const http1::RequestHead& head) const {
  if (deadly_part_.empty()) {
    return false;
  }
  const std::vector<std::string> parts = absl::StrSplit(
      Text(http::FindHeader(head.headers, "Prompt-Prefix")), ',');
  return std::any_of(parts.begin(), std::prev(parts.end()),
                     [this](const std::string& part) {
                       return part.substr(0, part.find(':')) == deadly_part_;
                     });
}

void StandInUpstream::OnRequest(http1::ServerConnection& connection,
                                const http1::RequestHead& head,
                                std::string& body) {
  const std::string request =
      Text(http::FindHeader(head.headers, "Request-Id"));
  if (http::FindHeader(head.headers, "Expected-Instance") != options_.id) {
    connection.Reply(Head(request, 421), {});
    return;
  }
  arrival_log_.push_back({request, loop_.clock().Now()});
  if (IsOverloadedCold() && crash_cold_) {
    loop_.Post(std::exchange(crash_cold_, nullptr));
  }
  if (fault_ == UpstreamFault::kShed || fault_ == UpstreamFault::kHoldOff) {
    http1::ResponseHead shed = Head(request, 503);
    if (fault_ == UpstreamFault::kHoldOff) {
      shed.headers.emplace_back("Retry-After", "2");
    }
    shed.headers.emplace_back(kNotRun, "1");
    connection.Reply(shed, {});
    return;
  }
  UpstreamRun run;
  run.upstream = options_.id;
  run.service = options_.service;
  run.version = options_.version;
  run.workspace = Text(http::FindHeader(head.headers, "Tenant"));
  run.prompt_parts = Text(http::FindHeader(head.headers, "Prompt-Prefix"));
  run.carried_key = http1::CountHeader(head.headers, "Authorization") > 0;
  run.began = loop_.clock().Now();
  uint64_t last_event = 0;
  const std::string last =
      Text(http::FindHeader(head.headers, "Last-Event-Id"));
  if (!last.empty() && absl::SimpleAtoi(last, &last_event)) {
    run.from_event = last_event + 1;
  }
  Job job;
  job.request = request;
  job.next_event = last_event + 1;
  if (HoldsDeadlyPart(head)) {
    job.crash = crash_for_part_;
  } else if (IsDeadlyRequest(head, body)) {
    job.crash = crash_for_request_;
  }
  job.run = runs_[request].size();
  runs_[request].push_back(run);
  if (fault_ != UpstreamFault::kHang) {
    job.timer = loop_.After(options_.work,
                            [this, &connection] { Respond(connection); });
  }
  jobs_[&connection] = std::move(job);
}

void StandInUpstream::Respond(http1::ServerConnection& connection) {
  const std::string request = jobs_.at(&connection).request;
  if (const CrashFunction& crash = jobs_.at(&connection).crash) {
    loop_.Post([crash, request] { crash(request); });  // Closes the connection.
    return;
  }
  SendLate(connection);
  latest_[&connection] = {latest_[&connection].back(), request};
  std::string body = ExpectedBody(request, options_.is_engine, options_.events,
                                  options_.version);
  if (!options_.is_engine && body.size() < options_.answer_bytes) {
    body.resize(options_.answer_bytes, 'x');
  }
  if (options_.is_engine) {
    // Without the events that the caller already has.
    const uint64_t first_event = jobs_.at(&connection).next_event;
    body.erase(
        0, ExpectedBody(request, true, static_cast<uint32_t>(first_event - 1),
                        options_.version)
               .size());
  }
  switch (fault_) {
    case UpstreamFault::kErrors:
    case UpstreamFault::kFalse503:
      End(connection, false);
      connection.Reply(
          Head(request, fault_ == UpstreamFault::kErrors ? 500 : 503), "error");
      return;
    case UpstreamFault::kReset:
      End(connection, false);
      connection.Abort();
      return;
    case UpstreamFault::kTruncate:
      End(connection, false);
      connection.StartResponse(Head(request, 200),
                               http1::BodyFraming::Length(body.size()));
      connection.WriteBody(std::string_view(body).substr(0, body.size() / 2));
      connection.CloseWhenIdle();
      loop_.Post([&connection, this] {
        if (connections_.Contains(connection)) {
          connection.Abort();
        }
      });
      return;
    case UpstreamFault::kEndInsideEvent:
      if (!options_.is_engine) {
        break;
      }
      End(connection, false);
      connection.Reply(Head(request, 200), std::string_view(body).substr(0, 9));
      return;
    case UpstreamFault::kGarbage:
      End(connection, false);
      connection.WriteRaw("\x01\x02 no answer\r\n\r\n");
      return;
    case UpstreamFault::kEndlessHead:
      End(connection, false);
      connection.WriteRaw("HTTP/1.1 200 OK\r\n");
      SendForever(connection, "X-More: " + std::string(500, 'x') + "\r\n");
      return;
    case UpstreamFault::kEndlessInterim:
      End(connection, false);
      SendForever(connection, "HTTP/1.1 102 Processing\r\n\r\n");
      return;
    case UpstreamFault::kEndlessDiscarded:
      End(connection, false);
      connection.WriteRaw(
          absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", request, "\r\n\r\n"));
      SendForever(connection, std::string(500, 'x'));
      return;
    case UpstreamFault::kStatusZero:
      End(connection, false);
      connection.WriteRaw(
          http1::Serialize(Head(request, 0), http1::BodyFraming::Length(5)) +
          "wrong");
      return;
    case UpstreamFault::kUnendedHead:
      End(connection, false);
      connection.WriteRaw(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                       Repeat("a:\r\n", kUnendedFields)));
      return;
    case UpstreamFault::kUnendedEvent:
      End(connection, false);
      connection.StartResponse(Head(request, 200),
                               http1::BodyFraming::Chunked());
      connection.WriteBody("id: 1\ndata: " + std::string(kUnendedBytes, 'x'));
      return;
    case UpstreamFault::kCutHead:
    case UpstreamFault::kCutHeadByReset:
      End(connection, false);
      CutHead(connection, request, body.size());
      return;
    case UpstreamFault::kUnendedLines:
      End(connection, false);
      connection.WriteRaw(
          http1::Serialize(Head(request, 200), http1::BodyFraming::Chunked()) +
          Repeat("1\r\nd\r\n1\r\n\n\r\n", kUnendedBytes / 2));
      return;
    case UpstreamFault::kCutInsideEvent:
    case UpstreamFault::kCutBetweenEvents:
      End(connection, false);
      CutUnframed(connection, request, body);
      return;
    case UpstreamFault::kUnframedCut:
      End(connection, false);
      connection.StartUnframedResponse(Head(request, 200));
      connection.WriteBody(std::string_view(body).substr(0, body.size() / 2));
      FinishAnswer(connection, request);
      return;
    case UpstreamFault::kForeign:
      connection.WriteRaw(http1::Serialize(Head("someone-else", 200),
                                           http1::BodyFraming::Length(5)) +
                          "wrong");
      break;
    default:
      break;
  }
  if (options_.is_engine) {
    if (IsUnframed(fault_)) {
      connection.StartUnframedResponse(Head(request, 200));
    } else {
      connection.StartResponse(Head(request, 200),
                               http1::BodyFraming::Chunked());
    }
    SendEvent(connection);
    return;
  }
  End(connection, false);
  if (IsUnframed(fault_)) {
    connection.StartUnframedResponse(Head(request, 200));
  } else {
    connection.StartResponse(Head(request, 200),
                             http1::BodyFraming::Length(body.size()));
  }
  connection.WriteBody(body);
  FinishAnswer(connection, request);
  if (fault_ == UpstreamFault::kExtra) {
    connection.WriteRaw(
        http1::Serialize(Head(request, 200), http1::BodyFraming::Length(5)) +
        "extra");
  }
}

void StandInUpstream::SendForever(http1::ServerConnection& connection,
                                  const std::string& piece) {
  endless_[&connection] =
      loop_.Every(std::chrono::milliseconds(1),
                  [&connection, piece] { connection.WriteRaw(piece); });
}

void StandInUpstream::CutUnframed(http1::ServerConnection& connection,
                                  const std::string& request,
                                  const std::string& body) {
  size_t end = body.size() / 2;
  if (fault_ == UpstreamFault::kCutBetweenEvents && options_.is_engine) {
    end = body.find("\n\n", end);
    end = end == std::string::npos ? body.size() : end + 2;
  }
  connection.StartUnframedResponse(Head(request, 200));
  connection.WriteBody(std::string_view(body).substr(0, end));
  endless_[&connection] =
      loop_.After(kReadTime, [&connection] { connection.Abort(); });
}

void StandInUpstream::CutHead(http1::ServerConnection& connection,
                              const std::string& request,
                              size_t body_bytes) {
  std::string head = http1::Serialize(Head(request, 200),
                                      http1::BodyFraming::Length(body_bytes));
  head.resize(head.size() - std::string_view("\r\n").size());
  connection.WriteRaw(head);
  const bool is_reset = fault_ == UpstreamFault::kCutHeadByReset;
  endless_[&connection] = loop_.After(kReadTime, [&connection, is_reset] {
    if (is_reset) {
      connection.Abort();
    } else {
      connection.Yield();
    }
  });
}

void StandInUpstream::SendEvent(http1::ServerConnection& connection) {
  Job& job = jobs_.at(&connection);
  if (job.next_event > options_.events) {
    const std::string request = job.request;
    End(connection, false);
    FinishAnswer(connection, request);
    return;
  }
  connection.WriteBody(Event(job.request, job.next_event, options_.version));
  ++job.next_event;
  job.timer = loop_.After(options_.event_gap,
                          [this, &connection] { SendEvent(connection); });
}

std::string StandInUpstream::SecondAnswer(const std::string& request) const {
  if (fault_ == UpstreamFault::kLateNoContent) {
    return Frame(fault_, Head(request, 204), {});
  }
  if (fault_ == UpstreamFault::kUnframedForeign) {
    return Frame(fault_, Head("of-nobody", 200), "answer to of-nobody");
  }
  if (fault_ == UpstreamFault::kLateRefusal ||
      fault_ == UpstreamFault::kUnframedRefusal) {
    http1::ResponseHead refusal = Head(request, 503);
    refusal.headers.emplace_back(kNotRun, "1");
    refusal.headers.emplace_back("Server-Leaving", "1");
    refusal.headers.emplace_back("Retry-After", "2");
    return Frame(fault_, refusal, {});
  }
  const std::string body = ExpectedBody(request, options_.is_engine,
                                        options_.events, options_.version);
  if (fault_ == UpstreamFault::kUnframedSecondRun) {
    return options_.is_engine ? body : "";
  }
  return Frame(fault_, Head(request, 200), body);
}

void StandInUpstream::FinishAnswer(http1::ServerConnection& connection,
                                   const std::string& request) {
  if (IsLate(fault_)) {
    connection.FinishResponse();
    late_[&connection] = {SecondAnswer(request),
                          loop_.After(kSecondAnswerDelay, [this, &connection] {
                            // The answer to a request that is being run is sent
                            // after it.
                            if (!jobs_.contains(&connection)) {
                              SendLate(connection);
                            }
                          })};
    return;
  }
  std::string second;
  if (fault_ == UpstreamFault::kUnframedEarlier) {
    const std::string& earlier = latest_[&connection].front();
    second = earlier.empty() ? "" : SecondAnswer(earlier);
  } else if (IsUnframed(fault_) && fault_ != UpstreamFault::kUnframed) {
    second = SecondAnswer(request);
  }
  if (second.empty()) {
    connection.FinishResponse();
    return;
  }
  endless_[&connection] =
      loop_.After(kSecondAnswerDelay, [&connection, second] {
        connection.WriteRaw(second);
        connection.FinishResponse();
      });
}

void StandInUpstream::SendLate(http1::ServerConnection& connection) {
  const auto late = late_.find(&connection);
  if (late != late_.end()) {
    connection.WriteRaw(late->second.text);
    late_.erase(late);
  }
}

void StandInUpstream::End(http1::ServerConnection& connection,
                          bool is_cancelled) {
  const auto job = jobs_.find(&connection);
  if (job == jobs_.end()) {
    return;
  }
  UpstreamRun& run = runs_.at(job->second.request).at(job->second.run);
  run.ended = loop_.clock().Now();
  run.was_cancelled = is_cancelled;
  jobs_.erase(job);
}

void StandInUpstream::Crash() {
  connections_.AbortAll();
}

void StandInUpstream::StopInOrder() {
  listener_.reset();
  EndAnswersInOrder();
}

void StandInUpstream::EndAnswersInOrder() {
  std::vector<http1::ServerConnection*> busy;
  for (const auto& [connection, job] : jobs_) {
    busy.push_back(connection);
  }
  for (http1::ServerConnection* const connection : busy) {
    End(*connection, false);
    connection->FinishResponse();
  }
}

void StandInUpstream::Stop() {
  listener_.reset();
  Crash();
}

void StandInUpstream::OnRequestError(http1::ServerConnection& connection,
                                     http1::RequestError /*fault*/) {
  connection.Reply({.status = 400, .headers = {}}, {});
}

void StandInUpstream::OnClosed(http1::ServerConnection& connection) {
  endless_.erase(&connection);
  late_.erase(&connection);
  latest_.erase(&connection);
  End(connection, true);
  connections_.Remove(connection);
}

}  // namespace jackdawshunt::testing
