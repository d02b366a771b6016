#include "jackdawshunt/gateway/request_log.h"

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log_line.h"

namespace jackdawshunt::gateway {

int64_t ToWholeMs(kernel::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::string PartsText(const routing::RoutedRequest& request) {
  return routing::PartIdsText(
      IdsOf(request.subjects, routing::SubjectKind::kPart));
}

std::string ContentText(const routing::RoutedRequest& request) {
  return absl::StrCat(absl::Hex(request.content));
}

void LogPlacement(const routing::RoutedRequest& request,
                  const routing::Decision& decision,
                  std::optional<uint64_t> continues_after,
                  kernel::TimePoint now) {
  base::LogLine line(base::LogLevel::kInfo, "request_placed");
  line.Add("request", request.id)
      .Add("route", request.route->name)
      .Add("workspace", request.workspace)
      .Add("configuration", request.table->version())
      .Add("attempt", request.send_count + 1)
      .Add("verdict", routing::VerdictName(decision.verdict))
      .Add("upstream", decision.upstream.id)
      .Add("version", decision.upstream.software_version)
      .Add("candidates", decision.candidates)
      .Add("content", [&] { return ContentText(request); })
      .Add("left_ms", ToWholeMs(request.deadline - now));
  if (decision.verdict == routing::Verdict::kRefuse) {
    line.Add("rule", routing::RefusalRuleName(decision.rule));
  }
  if (decision.is_engine) {
    line.Add("offers", decision.offers)
        .Add("unreachable", decision.unreachable)
        .Add("wait_ms", ToWholeMs(decision.cost.wait))
        .Add("ahead_ms", ToWholeMs(decision.cost.ahead_of_pace))
        .Add("read_ms", ToWholeMs(decision.cost.prefill_time))
        .Add("missing_tokens", decision.cost.uncached_tokens)
        .Add("tokens", routing::ShareTokens(*request.prompt))
        .Add("parts", [&] { return PartsText(request); })
        .Add("share_used", decision.share_used)
        .Add("fleet_has_room", decision.fleet_has_spare_capacity)
        .Add("objective_left_ms",
             ToWholeMs(request.remaining_objective_at_arrival));
  }
  if (request.resumption.has_value()) {
    line.Add("resumes", request.resumption->first_request)
        .Add("after_event", request.resumption->last_event_id);
  }
  if (continues_after.has_value()) {
    line.Add("continues_after_event", *continues_after);
  }
}

void LogOrigin(const routing::RoutedRequest& request,
               const OriginAnswer& answer) {
  base::LogLine(base::LogLevel::kInfo, "stream_origin")
      .Add("request", request.id)
      .Add("resumes", request.resumption->first_request)
      .Add("after_event", request.resumption->last_event_id)
      .Add("known", answer.origin != routing::kUnknownOrigin)
      .Add("source", OriginSourceName(answer.source))
      .Add("rounds", answer.rounds)
      .Add("ms", ToWholeMs(answer.time));
}

}  // namespace jackdawshunt::gateway
