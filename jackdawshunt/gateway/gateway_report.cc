// What a gateway reports to the operator: changes as log lines, states as
// metrics.
#include <algorithm>
#include <array>
#include <utility>

#include "jackdawshunt/base/log.h"
#include "jackdawshunt/base/log_line.h"
#include "jackdawshunt/gateway/gateway_process.h"

namespace jackdawshunt::gateway {
namespace {

// Log events and metrics of quarantines, by the kind of what is refused.
constexpr std::array<std::string_view,
                     static_cast<size_t>(routing::kLastSubjectKind) + 1>
    kQuarantineEvents = {"parts_quarantined", "request_quarantined"};

}  // namespace

void GatewayProcess::ObserveRouter() {
  router_.SetUpstreamObserver(
      [](const routing::Upstream& upstream, routing::Directory::Change change) {
        base::LogLine(base::LogLevel::kInfo, "upstream_changed")
            .Add("upstream", upstream.id)
            .Add("started_unix_ms", upstream.started_unix_ms)
            .Add("service", upstream.service)
            .Add("version", upstream.software_version)
            .Add("address", upstream.address.ToString())
            .Add("draining", upstream.is_draining)
            .Add("change", routing::ChangeName(change));
      });
  router_.beliefs().SetObserver(
      [this](const std::vector<routing::Quarantine>& quarantine) {
        OnQuarantineChanged(quarantine);
      });
  router_.SetColdObserver([this](const routing::Upstream& upstream,
                                 routing::ColdSource source,
                                 kernel::Duration time) {
    metrics_.CountUpstreamState("cold");
    base::LogLine(base::LogLevel::kInfo, "upstream_state")
        .Add("upstream", upstream.id)
        .Add("started_unix_ms", upstream.started_unix_ms)
        .Add("state", "cold")
        .Add("source", routing::ColdSourceName(source))
        .Add("for_ms", time.count() / 1000);
  });
}

void GatewayProcess::SetGauges() {
  metrics_.SetGauge("open_caller_connections",
                    static_cast<double>(http_frontend_.open_connections()));
  metrics_.SetGauge("upstream_connections_opened",
                    static_cast<double>(pool_.connections_opened()));
  metrics_.SetGauge("store_calls", static_cast<double>(configuration_.calls() +
                                                       upstreams_.calls() +
                                                       evacuations_.calls()));
  metrics_.SetGauge("store_answers_outdated",
                    static_cast<double>(configuration_.outdated_answers() +
                                        upstreams_.outdated_answers() +
                                        evacuations_.outdated_answers()));
  metrics_.SetGauge("board_questions",
                    static_cast<double>(boards_.queries_sent()));
  metrics_.SetGauge("board_questions_unanswered",
                    static_cast<double>(boards_.queries_unanswered()));
  metrics_.SetGauge("lag_seconds",
                    std::chrono::duration<double>(overload_.lag()).count());
  metrics_.SetGauge("store_era",
                    static_cast<double>(upstreams_.revision().era));
  for (size_t use = 0; use < http1::kClientMemoryKinds; ++use) {
    const auto kind = static_cast<http1::ClientMemory>(use);
    metrics_.SetGauge(
        std::string("client_bytes_").append(http1::ClientMemoryName(kind)),
        static_cast<double>(client_budget_.held_bytes(kind)));
  }
  metrics_.SetGauge("client_connections",
                    static_cast<double>(client_budget_.clients()));
  metrics_.SetGauge("client_memory_reclaimed",
                    static_cast<double>(client_budget_.reclaimed()));
  metrics_.SetGauge("client_memory_refused",
                    static_cast<double>(client_budget_.refused()));
  metrics_.SetGauge("stream_origins", static_cast<double>(origins_.size()));
  metrics_.SetGauge("stream_origins_rejected",
                    static_cast<double>(origins_.rejected()));
  for (size_t kind = 0; kind < kQuarantineEvents.size(); ++kind) {
    const auto& quarantine = router_.beliefs().quarantine();
    metrics_.SetGauge(std::string(kQuarantineEvents.at(kind)),
                      static_cast<double>(std::count_if(
                          quarantine.begin(), quarantine.end(),
                          [kind](const routing::Quarantine& quarantined) {
                            return static_cast<size_t>(quarantined.kind()) ==
                                   kind;
                          })));
  }
  metrics_.SetGauge(
      "facts", static_cast<double>(router_.beliefs().facts().rows().size()));
  const kernel::TimePoint now = loop_.clock().Now();
  metrics_.SetGauge("cold_upstreams",
                    static_cast<double>(router_.beliefs().CountCold(now)));
  metrics_.SetGauge("evacuated_data_centres",
                    static_cast<double>(evacuated_.size()));
  metrics_.SetGauge(
      "evacuations_age_seconds",
      evacuations_changed_at_ == kernel::TimePoint{}
          ? 0
          : std::chrono::duration<double>(now - evacuations_changed_at_)
                .count());
  metrics_.SetGauge("permits_granted", static_cast<double>(permits_.granted()));
  metrics_.SetGauge("permits_refused", static_cast<double>(permits_.refused()));
  metrics_.SetGauge("permits_without_board",
                    static_cast<double>(permits_.without_board()));
  metrics_.SetGauge("start_checks",
                    static_cast<double>(start_checks_.opened()));
  metrics_.SetGauge("upstreams",
                    static_cast<double>(router_.directory().size()));
}

void GatewayProcess::LogClientMemory() {
  const uint64_t reclaimed =
      client_budget_.reclaimed() -
      std::exchange(logged_reclaimed_, client_budget_.reclaimed());
  const uint64_t refused =
      client_budget_.refused() -
      std::exchange(logged_refused_, client_budget_.refused());
  if (reclaimed == 0 && refused == 0) {
    return;
  }
  base::LogLine line(base::LogLevel::kWarning, "client_memory");
  for (size_t use = 0; use < http1::kClientMemoryKinds; ++use) {
    const auto kind = static_cast<http1::ClientMemory>(use);
    line.Add(std::string(http1::ClientMemoryName(kind)).append("_bytes"),
             client_budget_.held_bytes(kind));
  }
  line.Add("connections", client_budget_.clients())
      .Add("reclaimed", reclaimed)
      .Add("refused", refused);
}

void GatewayProcess::OnQuarantineChanged(
    const std::vector<routing::Quarantine>& quarantine) {
  const kernel::TimePoint now = loop_.clock().Now();
  for (const routing::Quarantine& quarantined : quarantine) {
    base::LogLine line(
        base::LogLevel::kWarning,
        kQuarantineEvents.at(static_cast<size_t>(quarantined.kind())));
    const auto requests =
        IdsOf(quarantined.subjects, routing::SubjectKind::kRequest);
    if (!requests.empty()) {
      line.Add("content", routing::PartIdsText(requests));
    }
    line.Add("parts", routing::PartIdsText(IdsOf(quarantined.subjects,
                                                 routing::SubjectKind::kPart)))
        .Add("ends", quarantined.ends)
        .Add("own", quarantined.source == router_.beliefs().source())
        .Add("age_ms", (now - quarantined.since).count() / 1000)
        .Add("for_ms",
             (router_.beliefs().TrialFrom(quarantined) - now).count() / 1000);
  }
  base::LogLine(base::LogLevel::kInfo, "quarantine_changed")
      .Add("entries", quarantine.size());
  // In a later iteration of the loop, since a call may have caused it.
  loop_.Post([this] { http_frontend_.OnQuarantineChanged(); });
}

void GatewayProcess::LogEvacuation(const std::string& data_centre,
                                   bool is_evacuated) {
  const size_t upstreams = router_.directory().CountIn(data_centre);
  base::Log(upstreams > 0 ? base::LogLevel::kInfo : base::LogLevel::kWarning,
            is_evacuated ? "evacuation_began" : "evacuation_ended",
            {{"data_centre", data_centre},
             {"upstreams", upstreams},
             {"revision", evacuations_.changed_revision().revision}});
}

}  // namespace jackdawshunt::gateway
