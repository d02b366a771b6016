// What a gateway follows in the platform's store.
#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "jackdawshunt/base/log.h"
#include "jackdawshunt/gateway/gateway_process.h"

namespace jackdawshunt::gateway {
namespace {

// A gateway reads the configuration from the store when the reads reported by
// the others are older than a random age from kMinReadAge to kMaxReadAge, which
// is fixed per gateway. Few gateways are near the minimum, so that few read at
// the same time. The maximum and the delay through a board together stay far
// below the time in which a revoked key must be refused.
constexpr kernel::Duration kMinReadAge = std::chrono::milliseconds(900);
constexpr kernel::Duration kMaxReadAge = std::chrono::milliseconds(2500);
// Minimum time between reads that KeepCurrent() starts of the configuration.
constexpr kernel::Duration kMinReadInterval = std::chrono::milliseconds(800);
// If other gateways have had a newer revision for this time and the time in
// which changes are grouped, the watch may have failed.
constexpr kernel::Duration kMaxTimeBehind = std::chrono::milliseconds(300);
// A shorter outage of the store starts no grace period, since no upstream's
// record can have expired during it.
constexpr kernel::Duration kMinExpiryGap = std::chrono::milliseconds(800);

// Returns a random age of which small values are rare.
kernel::Duration RandomAge(kernel::Duration min, kernel::Duration max) {
  std::random_device source;
  const double fraction = std::sqrt(std::uniform_real_distribution<>()(source));
  return min +
         std::chrono::duration_cast<kernel::Duration>(
             fraction * std::chrono::duration<double, std::micro>(max - min));
}

}  // namespace

kernel::Duration GatewayProcess::RandomReadAge() {
  return RandomAge(kMinReadAge, kMaxReadAge);
}

kernel::Duration GatewayProcess::RandomRenewalAge() {
  return RandomAge(routing::WatchRenewal::kMinAge,
                   routing::WatchRenewal::kMaxAge);
}

RecordFollowerCallbacks GatewayProcess::ConfigurationCallbacks() {
  const auto apply = [this](const std::vector<platform::Record>& records) {
    for (const platform::Record& record : records) {
      if (const auto* state =
              std::get_if<routing::DesiredState>(&record.value)) {
        ApplyDesiredState(*state);
      }
    }
  };
  return {.on_list =
              [this, apply](const std::vector<platform::Record>& records,
                            bool is_restored) {
                if (is_restored) {
                  freshness_.OnStoreRestored(kernel::BootClock().Now());
                }
                apply(records);
              },
          .on_change =
              [this, apply](const std::vector<platform::Record>& records) {
                apply(records);
                if (WroteActiveConfiguration(records)) {
                  freshness_.OnConfigurationWritten();
                }
              },
          .on_current =
              [this](kernel::TimePoint as_of) {
                if (router_.table() != nullptr &&
                    router_.table()->version() >=
                        exchange_.fleet_configuration_version()) {
                  freshness_.RecordReadAt(as_of);
                }
              },
          .on_reconnected = [](kernel::Duration) {}};
}

bool GatewayProcess::WroteActiveConfiguration(
    const std::vector<platform::Record>& records) const {
  return std::any_of(
      records.begin(), records.end(), [this](const platform::Record& record) {
        const auto* state = std::get_if<routing::DesiredState>(&record.value);
        return state != nullptr && state->version >= router_.table()->version();
      });
}

void GatewayProcess::ApplyDesiredState(const routing::DesiredState& state) {
  const bool is_newer = router_.SetDesiredState(state);
  base::Log(base::LogLevel::kInfo,
            is_newer ? "configuration_applied" : "configuration_not_newer",
            {{"version", state.version},
             {"in_force", router_.table()->version()},
             {"routes", state.routes.size()},
             {"workspaces", state.workspaces.size()}});
}

RecordFollowerCallbacks GatewayProcess::UpstreamCallbacks() {
  return {.on_list =
              [this](const std::vector<platform::Record>& records,
                     bool is_restored) {
                std::vector<routing::Upstream> all;
                for (const platform::Record& record : records) {
                  if (const auto* upstream =
                          std::get_if<routing::Upstream>(&record.value)) {
                    all.push_back(*upstream);
                  }
                }
                router_.ReplaceUpstreams(all, loop_.clock().Now(), is_restored);
                has_upstreams_ = true;
              },
          .on_change =
              [this](const std::vector<platform::Record>& records) {
                const kernel::TimePoint now = loop_.clock().Now();
                for (const platform::Record& record : records) {
                  if (const auto* upstream =
                          std::get_if<routing::Upstream>(&record.value)) {
                    router_.PutUpstream(*upstream, now);
                  } else {
                    router_.directory().Remove(record.name, now);
                  }
                }
              },
          .on_current = [](kernel::TimePoint) {},
          .on_reconnected =
              [this](kernel::Duration gap) {
                if (gap >= kMinExpiryGap) {
                  router_.directory().OnListOutageEnded(loop_.clock().Now());
                }
              }};
}

kernel::Duration GatewayProcess::EvacuationGrouping(
    const platform::InstanceSettings& settings) {
  return settings.promises.evacuation.value_or(kernel::Duration::zero()) /
         kChangeGroupingDivisor;
}

RecordFollowerCallbacks GatewayProcess::EvacuationCallbacks() {
  return {.on_list =
              [this](const std::vector<platform::Record>& records, bool) {
                evacuated_.clear();
                ApplyEvacuations(records);
              },
          .on_change =
              [this](const std::vector<platform::Record>& records) {
                ApplyEvacuations(records);
              },
          .on_current = [](kernel::TimePoint) {},
          .on_reconnected = [](kernel::Duration) {}};
}

void GatewayProcess::ApplyEvacuations(
    const std::vector<platform::Record>& records) {
  for (const platform::Record& record : records) {
    if (std::holds_alternative<platform::Evacuation>(record.value)) {
      evacuated_.insert(record.name);
    } else {
      evacuated_.erase(record.name);
    }
  }
  const kernel::TimePoint now = loop_.clock().Now();
  const auto before = router_.directory().evacuated();
  if (evacuated_ != before) {
    evacuations_changed_at_ = now;
  }
  router_.SetEvacuated(evacuated_, now);
  for (const std::string& name : evacuated_) {
    if (!before.contains(name)) {
      LogEvacuation(name, true);
    }
  }
  for (const std::string& name : before) {
    if (!evacuated_.contains(name)) {
      LogEvacuation(name, false);
    }
  }
}

void GatewayProcess::KeepCurrent() {
  const kernel::TimePoint now = loop_.clock().Now();
  const kernel::Duration age = freshness_.Age(kernel::BootClock().Now());
  const uint64_t version =
      router_.table() == nullptr ? 0 : router_.table()->version();
  const bool is_configuration_behind =
      exchange_.fleet_configuration_version() > version || age > read_age_;
  if ((is_configuration_behind || renewal_.IsDue(kernel::BootClock().Now())) &&
      now - last_read_ > kMinReadInterval) {
    last_read_ = now;
    // A watch that is sent while the store does not answer may be lost, too.
    configuration_.Read([this](bool is_read) {
      if (is_read) {
        RenewWatches();
      }
    });
  }
  ReadAfterRestoration();
  if (exchange_.fleet_evacuations_revision() <= evacuations_.revision()) {
    evacuations_behind_since_ = now;
  } else if (now - evacuations_behind_since_ >
             kMaxTimeBehind + EvacuationGrouping(settings_)) {
    evacuations_behind_since_ = now;
    evacuations_.ReadNow();
  }
  if (exchange_.fleet_upstreams_revision() <= upstreams_.revision()) {
    behind_since_ = now;
  } else if (now - behind_since_ >
             kMaxTimeBehind +
                 settings_.promises.drain / kChangeGroupingDivisor) {
    behind_since_ = now;
    upstreams_.ReadNow();
  }
}

void GatewayProcess::RenewWatches() {
  const kernel::TimePoint now = kernel::BootClock().Now();
  if (!renewal_.IsDue(now)) {
    return;
  }
  renewal_.RecordRenewedAt(now);
  for (RecordFollower* const follower :
       {&configuration_, &upstreams_, &evacuations_}) {
    follower->RenewWatch();
  }
}

void GatewayProcess::ReadAfterRestoration() {
  const uint64_t newest_era =
      std::max({configuration_.revision().era, upstreams_.revision().era,
                exchange_.fleet_upstreams_revision().era});
  for (RecordFollower* const follower :
       {&configuration_, &upstreams_, &evacuations_}) {
    if (follower->revision().era < newest_era) {
      follower->ReadNow();
    }
  }
}

}  // namespace jackdawshunt::gateway
