#include "jackdawshunt/routing/router.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace jackdawshunt::routing {
namespace {

constexpr std::array<std::string_view, 5> kVerdictNames = {
    "send", "refuse", "no_upstream", "quarantined", "request_quarantined"};
constexpr std::array<std::string_view, 5> kColdSourceNames = {
    "record", "new_start", "refused", "unanswered", "evacuation"};

// Time from a restart of an upstream until all instances know its record: one
// or two heartbeats, the delay of the list and that of grouped changes.
constexpr kernel::Duration kRestartNoticeTime = std::chrono::seconds(4);
// Part of the rate of a cold plain upstream that one board gives out. Its board
// is chosen by hashing the list, so that instances with different lists can use
// two boards at a time.
constexpr double kSharedHomeFraction = 0.6;

// Prefill rate assumed for an engine until one is observed.
constexpr double kDefaultPrefillTokensPerMs = 30.0;
// An upstream that goes on for this long after it has begun an answer does not
// end because of it.
constexpr kernel::Duration kAnswerProofTime = std::chrono::milliseconds(250);
// Requests without a reported end stop counting as running at this age.
constexpr kernel::Duration kMaxRequestAge = std::chrono::seconds(30);
// Extra cost of an engine that failed all its recent requests; scaled by its
// failure share.
constexpr kernel::Duration kFailurePenalty = std::chrono::milliseconds(1500);
// Failure shares up to this are treated as noise.
constexpr double kTolerableFailureShare = 0.08;

// The stated throughput is rounded and includes repeated prefill.
constexpr double kPaceFactor = 1.1;
// Requests whose deadline is shorter than the longest one by no more than this
// are treated as first attempts.
constexpr kernel::Duration kRetryMargin = std::chrono::milliseconds(20);
// A board's reply older than this is not used to refuse other requests. In this
// time the wait can fall by little more than the time itself.
constexpr kernel::Duration kMaxOfferAge = std::chrono::milliseconds(60);
// Number of engines whose boards are queried for a request: the most preferred
// ones for its shared prefix. Other engines would have to prefill the prefix
// again, and later requests would not find it cached there.
constexpr size_t kQueriedEngines = 3;
// A caller that states no deadline may resume a stream for this time.
constexpr kernel::Duration kDefaultResumableTime = std::chrono::seconds(60);
constexpr kernel::Duration kMaxResumableTime = std::chrono::seconds(300);
// Below this used share a workspace may also use the next kQueriedEngines.
constexpr double kMaxShareForFurtherEngines = 0.6;

// Returns whether an upstream has begun the request's stream, so that it has
// counted in its workspace's share. Not so for a caller that does not name the
// request that began the stream, as any request could claim that.
bool HasBegun(const RoutedRequest& request) {
  return request.origin.has_value() &&
         (!request.resumption.has_value() ||
          !request.resumption->first_request.empty());
}

// Returns the key of the longest shared prefix, which determines the preferred
// engines; a prompt without one prefers engines by the hash of its request.
uint64_t AffinityKey(const RoutedRequest& request) {
  const size_t parts = request.part_keys.size();
  return parts >= 2 ? request.part_keys[parts - 2] : request.hash;
}

bool WasTried(const RoutedRequest& request, const std::string& id) {
  return std::find(request.tried_upstreams.begin(),
                   request.tried_upstreams.end(),
                   id) != request.tried_upstreams.end();
}

// Returns the `count` elements with the highest weights, in descending order.
template <typename Weight>
std::vector<const Upstream*> HighestWeights(
    const std::vector<const Upstream*>& elements,
    size_t count,
    Weight weight) {
  std::vector<std::pair<uint64_t, const Upstream*>> weighted;
  weighted.reserve(elements.size());
  for (const Upstream* element : elements) {
    weighted.emplace_back(weight(*element), element);
  }
  count = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<ptrdiff_t>(count),
                    weighted.end(), std::greater<>());
  std::vector<const Upstream*> highest;
  highest.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    highest.push_back(weighted[i].second);
  }
  return highest;
}

const BoardOffer* FindOffer(const std::vector<BoardOffer>& offers,
                            const Upstream& upstream) {
  const auto found = std::find_if(offers.begin(), offers.end(),
                                  [&upstream](const BoardOffer& offer) {
                                    return offer.upstream == upstream.id;
                                  });
  return found == offers.end() ? nullptr : &*found;
}

}  // namespace

std::string_view VerdictName(Verdict verdict) {
  return kVerdictNames.at(static_cast<size_t>(verdict));
}

std::string_view ColdSourceName(ColdSource source) {
  return kColdSourceNames.at(static_cast<size_t>(source));
}

uint64_t ShareTokens(const Prompt& prompt) {
  return prompt.prompt_tokens + uint64_t{2} * prompt.max_output_tokens;
}

Router::Router(RouterSettings settings, kernel::TimePoint now)
    : settings_(std::move(settings)),
      directory_(settings_.return_grace),
      knows_evacuations_(!settings_.follows_evacuations),
      beliefs_(settings_.incarnation, now),
      budget_(settings_.retry_budget, now),
      shares_(settings_.share_window) {
  directory_.SetObserver(
      [this](const Upstream& upstream, Directory::Change change) {
        if (change == Directory::Change::kRemoved) {
          beliefs_.OnEnded(upstream.id);
          upstreams_.erase(upstream.id);
          health_.Remove(upstream.id);
        } else if (change == Directory::Change::kRestarted) {
          beliefs_.OnEnded(upstream.id, StartOf(upstream));
          const auto found = upstreams_.find(upstream.id);
          if (found != upstreams_.end() && found->second.engine != nullptr) {
            found->second.engine->Clear();
          }
          health_.Remove(upstream.id);
        }
        if (upstream_observer_) {
          upstream_observer_(upstream, change);
        }
      });
}

bool Router::SetDesiredState(DesiredState state) {
  if (table_ != nullptr && state.version <= table_->version()) {
    return false;
  }
  table_ = std::make_shared<const RoutingTable>(std::move(state));
  std::set<std::string, std::less<>> services;
  for (const Service& service : table_->state().services) {
    services.insert(service.name);
  }
  directory_.SetServices(std::move(services));
  ApplyThroughput();
  for (const Upstream& upstream : std::exchange(unapplied_records_, {})) {
    ApplyColdRecord(upstream, unapplied_since_);
  }
  return true;
}

const Service* Router::ServiceWithColdStarts(const Upstream& upstream) const {
  const Service* const service =
      table_ == nullptr ? nullptr : table_->FindService(upstream.service);
  return service != nullptr && service->cold_requests_per_second > 0 ? service
                                                                     : nullptr;
}

void Router::MarkCold(const Upstream& upstream,
                      ColdSource source,
                      kernel::Duration time,
                      kernel::TimePoint now) {
  if (beliefs_.OnCold(StartOf(upstream), now + time, now) && cold_observer_) {
    cold_observer_(upstream, source, time);
  }
}

void Router::SuspectCold(const Upstream& upstream, kernel::TimePoint now) {
  const Service* const service = ServiceWithColdStarts(upstream);
  if (service == nullptr) {
    return;
  }
  const kernel::Duration time = kRestartNoticeTime + service->cold_time;
  if (beliefs_.SuspectCold(StartOf(upstream), now + time, now) &&
      cold_observer_) {
    cold_observer_(upstream, ColdSource::kUnanswered, time);
  }
}

void Router::OnConnectionRefused(const Upstream& upstream,
                                 kernel::TimePoint now) {
  beliefs_.OnEnded(upstream.id);
  if (const Service* const service = ServiceWithColdStarts(upstream)) {
    MarkCold(upstream, ColdSource::kRefused,
             kRestartNoticeTime + service->cold_time, now);
  }
}

void Router::ApplyColdRecord(const Upstream& upstream, kernel::TimePoint now) {
  const Service* const service = ServiceWithColdStarts(upstream);
  if (service == nullptr) {
    return;
  }
  const kernel::Duration stated =
      upstream.cold_remaining.value_or(kernel::Duration::zero());
  if (stated > kernel::Duration::zero()) {
    MarkCold(upstream, ColdSource::kRecord, stated, now);
    return;
  }
  // The first list shows starts of any age.
  const bool may_be_new = has_list_ || !upstream.cold_remaining.has_value();
  if (may_be_new && !directory_.IsKnownStart(upstream)) {
    MarkCold(upstream, ColdSource::kNewStart, service->cold_time, now);
  }
}

void Router::ReplaceUpstreams(const std::vector<Upstream>& upstreams,
                              kernel::TimePoint now,
                              bool is_restored) {
  if (table_ == nullptr) {
    // What these entries say is applied once the services are known.
    unapplied_records_ = upstreams;
    unapplied_since_ = now;
  }
  std::vector<Upstream> list = upstreams;
  for (Upstream& upstream : list) {
    ApplyColdRecord(upstream, now);
    upstream.cold_remaining.reset();
  }
  directory_.Replace(list, now, is_restored);
  has_list_ = true;
  UpdateUsablePart(now);
}

void Router::PutUpstream(const Upstream& upstream, kernel::TimePoint now) {
  if (table_ == nullptr) {
    unapplied_records_.push_back(upstream);
  }
  ApplyColdRecord(upstream, now);
  Upstream entry = upstream;
  entry.cold_remaining.reset();
  directory_.Put(entry, now);
}

Directory::Leaving Router::OnLeaving(const Upstream& upstream,
                                     int64_t sent_unix_ms,
                                     kernel::TimePoint now) {
  beliefs_.OnLeaving(upstream, now);
  const auto leaving = directory_.MarkLeaving(upstream, sent_unix_ms, now);
  const Upstream* const listed = directory_.Find(upstream.id);
  if (listed != nullptr && leaving != Directory::Leaving::kOtherStart) {
    beliefs_.OnLeaving(*listed, now);
  }
  return leaving;
}

void Router::SetEvacuated(std::set<std::string, std::less<>> data_centres,
                          kernel::TimePoint now) {
  knows_evacuations_ = true;
  const std::set<std::string, std::less<>> before = directory_.evacuated();
  directory_.SetEvacuated(std::move(data_centres));
  if (table_ != nullptr) {
    for (const Service& service : table_->state().services) {
      for (const Upstream* const upstream : directory_.Listed(service.name)) {
        if (service.cold_requests_per_second > 0 &&
            before.contains(upstream->data_centre) &&
            !directory_.IsEvacuated(upstream->data_centre)) {
          MarkCold(*upstream, ColdSource::kEvacuation, service.cold_time, now);
        }
      }
    }
  }
  UpdateUsablePart(now);
}

void Router::UpdateUsablePart(kernel::TimePoint now) {
  if (directory_.evacuated().empty() && usable_part_ == 1.0) {
    return;
  }
  const std::vector<const Upstream*> running = RunningEngines(now);
  const auto usable = std::count_if(
      running.begin(), running.end(), [this](const Upstream* engine) {
        return !directory_.IsEvacuated(engine->data_centre);
      });
  usable_part_ = running.empty() ? 1.0
                                 : static_cast<double>(usable) /
                                       static_cast<double>(running.size());
  ApplyThroughput();
}

void Router::ApplyThroughput() {
  shares_.set_tokens_per_second(
      table_ == nullptr
          ? 0
          : usable_part_ * table_->state().limits.tokens_per_second);
}

std::optional<PermitRate> Router::RateOf(const Upstream& upstream,
                                         kernel::TimePoint now) const {
  const uint64_t start = StartOf(upstream);
  std::optional<PermitRate> rate;
  if (const auto limit = beliefs_.LimitOf(start, now)) {
    rate = {.per_second = *limit};
  }
  if (beliefs_.ColdUntil(start, now) > now) {
    if (const Service* const service = ServiceWithColdStarts(upstream)) {
      const double tolerated =
          settings_.cold_overage * service->cold_requests_per_second +
          settings_.cold_slack;
      const double cold =
          std::min(service->cold_requests_per_second,
                   tolerated / PermitCounter::kMaxColdExcess) *
          (service->engine.has_value() ? 1.0 : kSharedHomeFraction);
      rate = {.per_second =
                  rate.has_value() ? std::min(rate->per_second, cold) : cold,
              .is_cold = true};
    }
  }
  return rate;
}

void Router::Prepare(RoutedRequest& request,
                     std::optional<kernel::Duration> deadline,
                     kernel::TimePoint now) {
  const Route& route = *request.route;
  request.hash = HashOf(request.id);
  request.service = std::string(PickService(route, request.hash));
  request.arrived_at = now;
  const kernel::Duration wait =
      std::min(deadline.value_or(route.timeout), route.timeout);
  request.deadline = now + wait;
  request.remaining_objective_at_arrival = route.latency_objective;
  if (deadline.has_value()) {
    kernel::Duration& longest = longest_deadline_[route.name];
    longest = std::max(longest, *deadline);
    // A caller that retries after a refusal states less time than at first.
    request.remaining_objective_at_arrival =
        std::max(kernel::Duration::zero(),
                 route.latency_objective - (longest - *deadline));
  }
  if (request.resumption.has_value()) {
    // The objective was that of the first event, which the caller has.
    request.remaining_objective_at_arrival = route.latency_objective;
  }
  request.resumable_until =
      now +
      std::min(deadline.value_or(kDefaultResumableTime), kMaxResumableTime);
  if (request.prompt.has_value()) {
    request.part_keys = PartKeys(request.prompt->parts);
    for (const uint64_t part : SharedPartIds(request.prompt->parts)) {
      request.subjects.push_back({SubjectKind::kPart, part});
    }
  }
  request.subjects.push_back({SubjectKind::kRequest, request.content});
  budget_.OnRequest(request.service, now);
  if (request.prompt.has_value() && !request.workspace.empty()) {
    shares_.OnRequest(HashOf(request.workspace), ShareTokens(*request.prompt),
                      now);
  }
}

void Router::BindToOrigin(RoutedRequest& request,
                          uint64_t origin,
                          kernel::TimePoint now) {
  request.origin = origin;
  for (const WeightedService& candidate : request.route->services) {
    const auto& ready = directory_.Ready(candidate.service, now);
    if (std::any_of(ready.begin(), ready.end(),
                    [origin](const Upstream* upstream) {
                      return upstream->origin == origin;
                    })) {
      request.service = candidate.service;
      return;
    }
  }
}

uint64_t Router::SoleOrigin(const RoutedRequest& request,
                            kernel::TimePoint now) const {
  const Route& route = *request.route;
  const auto longest = longest_deadline_.find(route.name);
  const kernel::Duration window =
      longest == longest_deadline_.end()
          ? route.timeout
          : std::max(route.timeout, longest->second);
  return route.services.size() == 1
             ? directory_.SoleOrigin(route.services.front().service, window,
                                     now)
             : kUnknownOrigin;
}

void Router::UpdateOriginHomes(kernel::TimePoint now) {
  const auto ready = RunningEngines(now);  // May change the directory.
  const std::pair<uint64_t, uint64_t> source = {directory_.changes(),
                                                table_->version()};
  if (source == homes_source_) {
    return;
  }
  homes_source_ = source;
  ready_homes_ = OriginHomes(ready);
  std::vector<const Upstream*> listed;
  for (const Service& service : table_->state().services) {
    if (service.engine.has_value()) {
      const auto of_service = directory_.Listed(service.name);
      listed.insert(listed.end(), of_service.begin(), of_service.end());
    }
  }
  listed_homes_ = OriginHomes(listed);
}

std::vector<std::string> Router::OriginHomesOf(uint64_t request_hash,
                                               kernel::TimePoint now) {
  UpdateOriginHomes(now);
  return ready_homes_.HomesOf(request_hash);
}

std::vector<std::string> Router::PossibleOriginHomesOf(uint64_t request_hash,
                                                       kernel::TimePoint now) {
  UpdateOriginHomes(now);
  std::vector<std::string> homes = ready_homes_.PossibleHomesOf(request_hash);
  for (std::string& ip : listed_homes_.PossibleHomesOf(request_hash)) {
    if (std::find(homes.begin(), homes.end(), ip) == homes.end()) {
      homes.push_back(std::move(ip));
    }
  }
  return homes;
}

kernel::Duration Router::TimeWithheld(std::string_view service,
                                      kernel::TimePoint now) {
  kernel::Duration shortest = kernel::Duration::max();
  for (const Upstream* upstream : directory_.Ready(service, now)) {
    const kernel::TimePoint at = beliefs_.MayPlaceAt(upstream->start, now);
    if (at > now && at != kernel::TimePoint::max()) {
      shortest = std::min(shortest, at - now);
    }
  }
  return shortest == kernel::Duration::max() ? kernel::Duration::zero()
                                             : shortest;
}

std::string Router::PermitHomeOf(const Upstream& upstream,
                                 kernel::TimePoint now) {
  if (StateOf(upstream).engine != nullptr) {
    return upstream.address.ip;
  }
  const auto home = HighestWeights(
      RunningEngines(now), 1, [start = upstream.start](const Upstream& engine) {
        return RendezvousWeight(start, engine.address_hash);
      });
  return home.empty() ? std::string() : home.front()->address.ip;
}

bool Router::MayServe(const RoutedRequest& request,
                      const Upstream& upstream,
                      kernel::TimePoint now) const {
  return !WasTried(request, upstream.id) && !IsWithheld(upstream, now) &&
         !directory_.IsEvacuated(upstream.data_centre) &&
         (!request.origin.has_value() || (*request.origin != kUnknownOrigin &&
                                          *request.origin == upstream.origin));
}

Router::UpstreamState& Router::StateOf(const Upstream& upstream) {
  const auto [found, is_new] = upstreams_.try_emplace(upstream.id);
  if (is_new && table_ != nullptr) {
    const Service* service = table_->FindService(upstream.service);
    if (service != nullptr && service->engine.has_value()) {
      found->second.engine = std::make_unique<EngineEstimate>(
          *service->engine, kDefaultPrefillTokensPerMs);
    }
  }
  return found->second;
}

std::vector<const Upstream*> Router::Candidates(const RoutedRequest& request,
                                                kernel::TimePoint now) {
  if (!knows_evacuations_) {
    return {};
  }
  std::vector<const Upstream*> untried = directory_.Ready(request.service, now);
  std::erase_if(untried, [&](const Upstream* upstream) {
    return !MayServe(request, *upstream, now);
  });
  if (!health_.MayAvoidAny(now)) {
    return untried;
  }
  std::vector<const Upstream*> healthy;
  for (const Upstream* upstream : untried) {
    if (!health_.IsAvoided(upstream->id, now)) {
      healthy.push_back(upstream);
    }
  }
  // When more than two thirds are avoided, the cause is probably not in the
  // upstreams.
  return healthy.size() * 3 >= untried.size() && !healthy.empty() ? healthy
                                                                  : untried;
}

const EngineProfile* Router::EngineProfileFor(const RoutedRequest& request) {
  const Service* const service = request.table->FindService(request.service);
  return request.prompt.has_value() && service != nullptr &&
                 service->engine.has_value()
             ? &*service->engine
             : nullptr;
}

EngineEstimate& Router::EstimateOf(const Upstream& upstream,
                                   const EngineProfile& profile) {
  UpstreamState& state = StateOf(upstream);
  if (state.engine == nullptr) {
    state.engine =
        std::make_unique<EngineEstimate>(profile, kDefaultPrefillTokensPerMs);
  }
  return *state.engine;
}

EngineCandidate Router::ToCandidate(const RoutedRequest& request,
                                    const EngineProfile& profile,
                                    const Upstream& upstream,
                                    kernel::TimePoint now) {
  EngineCandidate row;
  row.upstream_hash = upstream.hash;
  EngineEstimate& engine = EstimateOf(upstream, profile);
  engine.set_sustained_tokens_per_ms(request.engine_tokens_per_s / 1000.0);
  row.cost = engine.Estimate(request.part_keys, request.prompt->parts, now);
  // Other instances may have sent requests to it.
  row.cost.idle_time = kernel::Duration::zero();
  row.is_same_data_centre = upstream.data_centre == settings_.data_centre;
  const double failures = health_.FailureShare(upstream.id);
  if (failures > kTolerableFailureShare) {
    row.penalty = std::chrono::duration_cast<kernel::Duration>(
        failures * std::chrono::duration<double, std::micro>(kFailurePenalty));
  }
  return row;
}

bool Router::IsRetryAfterRefusal(const Route& route,
                                 kernel::Duration deadline) const {
  const auto longest = longest_deadline_.find(route.name);
  return longest != longest_deadline_.end() &&
         longest->second - deadline > kRetryMargin;
}

double Router::EngineTokensPerSecond(size_t engines) const {
  const double stated =
      table_ == nullptr ? 0 : table_->state().limits.tokens_per_second;
  return kPaceFactor * stated /
         static_cast<double>(std::max<size_t>(engines, 1));
}

std::vector<Upstream> Router::EnginesToQuery(RoutedRequest& request,
                                             kernel::TimePoint now) {
  const std::vector<const Upstream*> candidates = Candidates(request, now);
  if (candidates.empty() || EngineProfileFor(request) == nullptr) {
    return {};
  }
  // The stated throughput is that of all engines that run.
  const auto& running = directory_.Running(request.service, now);
  const auto withheld = std::count_if(
      running.begin(), running.end(), [&](const Upstream* engine) {
        return IsWithheld(*engine, now) ||
               directory_.IsEvacuated(engine->data_centre);
      });
  request.engine_tokens_per_s =
      EngineTokensPerSecond(candidates.size() + static_cast<size_t>(withheld));
  return PreferredEngines(request, candidates, 0);
}

std::vector<Upstream> Router::PreferredEngines(
    const RoutedRequest& request,
    const std::vector<const Upstream*>& candidates,
    size_t first) {
  const std::vector<const Upstream*> preferred =
      HighestWeights(candidates, first + kQueriedEngines,
                     [key = AffinityKey(request)](const Upstream& candidate) {
                       return RendezvousWeight(key, candidate.hash);
                     });
  std::vector<Upstream> engines;
  for (size_t i = first; i < preferred.size(); ++i) {
    engines.push_back(*preferred[i]);
  }
  return engines;
}

std::vector<Upstream> Router::FurtherEnginesToQuery(
    const RoutedRequest& request,
    const Decision& refusal,
    kernel::TimePoint now) {
  if (refusal.verdict != Verdict::kRefuse || refusal.share_used <= 0 ||
      refusal.share_used >= kMaxShareForFurtherEngines) {
    return {};
  }
  return PreferredEngines(request, Candidates(request, now), kQueriedEngines);
}

std::optional<Decision> Router::RefuseWithoutQuery(
    const RoutedRequest& request,
    const std::vector<Upstream>& engines,
    kernel::TimePoint now) {
  std::optional<Decision> refusal;
  for (const Upstream& engine : engines) {
    const UpstreamState& state = StateOf(engine);
    const kernel::Duration age = now - state.last_offer_at;
    // The lowest cost that the board can reply now.
    EngineCost cost{.idle_time = kernel::Duration::max()};
    if (age <= kMaxOfferAge) {
      cost.wait =
          std::max(state.last_offer.wait - age, kernel::Duration::zero());
      cost.ahead_of_pace = std::max(state.last_offer.ahead_of_pace - age,
                                    kernel::Duration::zero());
      cost.idle_time = state.last_offer.idle_time + age;
    }
    Decision decision = Admit(request, cost, now);
    if (decision.verdict == Verdict::kSend) {
      return std::nullopt;
    }
    if (!refusal.has_value() || decision.retry_after < refusal->retry_after) {
      refusal = std::move(decision);
    }
  }
  if (refusal.has_value()) {
    refusal->candidates = engines.size();
  }
  return refusal;
}

bool Router::IsReady(const Upstream& upstream, kernel::TimePoint now) {
  directory_.DropExpired(now);
  const Upstream* const current = directory_.Find(upstream.id);
  return current != nullptr && !current->is_draining &&
         !directory_.IsEvacuated(current->data_centre) &&
         !directory_.IsSuperseded(*current) &&
         current->address == upstream.address &&
         !beliefs_.IsClosed(current->start, now);
}

std::optional<Decision> Router::RefuseQuarantined(const RoutedRequest& request,
                                                  kernel::TimePoint now) const {
  const Quarantine* const quarantine =
      beliefs_.FindQuarantine(request.subjects, now, request.is_trial);
  if (quarantine == nullptr) {
    return std::nullopt;
  }
  Decision refusal;
  refusal.verdict = quarantine->kind() == SubjectKind::kRequest
                        ? Verdict::kRequestQuarantined
                        : Verdict::kPartsQuarantined;
  refusal.retry_after = std::max(beliefs_.RefusedUntil(*quarantine) - now,
                                 kernel::Duration::zero());
  return refusal;
}

Decision Router::Choose(const RoutedRequest& request,
                        const std::vector<BoardOffer>& offers,
                        kernel::TimePoint now) {
  if (auto refusal = RefuseQuarantined(request, now)) {
    return *std::move(refusal);
  }
  std::vector<const Upstream*> candidates =
      ReachableOffered(request, offers, now);
  if (candidates.empty()) {
    candidates = WithoutOffer(Candidates(request, now), offers);
  }
  if (candidates.empty()) {
    Decision none;
    none.retry_after = RetryDelay(TimeWithheld(request.service, now),
                                  request.deadline - now, request.hash);
    return none;
  }
  const EngineProfile* const profile = EngineProfileFor(request);
  Decision decision =
      profile != nullptr
          ? ChooseEngine(request, *profile, offers, candidates, now)
          : ChoosePlain(request, candidates, now);
  decision.candidates = candidates.size();
  decision.offers = offers.size();
  decision.unreachable = static_cast<size_t>(std::count_if(
      offers.begin(), offers.end(),
      [](const BoardOffer& offer) { return !offer.is_reachable; }));
  return decision;
}

std::vector<const Upstream*> Router::ReachableOffered(
    const RoutedRequest& request,
    const std::vector<BoardOffer>& offers,
    kernel::TimePoint now) {
  directory_.DropExpired(now);
  std::vector<const Upstream*> reachable;
  for (const BoardOffer& offer : offers) {
    const Upstream* const upstream = directory_.Find(offer.upstream);
    if (!offer.is_reachable) {
      health_.AvoidUnreachable(offer.upstream, now);
      if (upstream != nullptr) {
        SuspectCold(*upstream, now);
      }
      continue;
    }
    if (upstream != nullptr && IsReady(*upstream, now) &&
        MayServe(request, *upstream, now)) {
      reachable.push_back(upstream);
    }
  }
  return reachable;
}

std::vector<const Upstream*> Router::WithoutOffer(
    const std::vector<const Upstream*>& candidates,
    const std::vector<BoardOffer>& offers) {
  std::vector<const Upstream*> others;
  for (const Upstream* upstream : candidates) {
    if (FindOffer(offers, *upstream) == nullptr) {
      others.push_back(upstream);
    }
  }
  return others.empty() ? candidates : others;
}

Decision Router::ChooseEngine(const RoutedRequest& request,
                              const EngineProfile& profile,
                              const std::vector<BoardOffer>& offers,
                              const std::vector<const Upstream*>& candidates,
                              kernel::TimePoint now) {
  std::vector<EngineCandidate> rows;
  rows.reserve(candidates.size());
  for (const Upstream* upstream : candidates) {
    EngineCandidate row = ToCandidate(request, profile, *upstream, now);
    const BoardOffer* offer = FindOffer(offers, *upstream);
    if (offer != nullptr) {
      row.cost = offer->cost;
      UpstreamState& state = StateOf(*upstream);
      state.last_offer = offer->cost;
      state.last_offer_at = now;
    }
    rows.push_back(row);
  }
  const size_t best =
      PickEngine(rows, AffinityKey(request), settings_.placement);
  Decision decision = Admit(request, rows[best].cost, now);
  if (decision.verdict == Verdict::kSend) {
    decision.upstream = *candidates[best];
  }
  return decision;
}

Decision Router::Admit(const RoutedRequest& request,
                       const EngineCost& cost,
                       kernel::TimePoint now) {
  Decision decision;
  decision.is_engine = true;
  decision.cost = cost;
  decision.share_used = request.workspace.empty() || HasBegun(request)
                            ? 0
                            : shares_.ShareUsed(HashOf(request.workspace), now);
  decision.fleet_has_spare_capacity = shares_.FleetHasSpareCapacity(now);
  const kernel::Duration elapsed = now - request.arrived_at;
  const AdmissionDecision admission = DecideAdmission(
      {.cost = cost,
       .objective = request.route->latency_objective,
       .remaining_objective =
           std::max(kernel::Duration::zero(),
                    request.remaining_objective_at_arrival - elapsed),
       .time_to_deadline = request.deadline - now,
       .share_used = decision.share_used,
       .fleet_has_spare_capacity = decision.fleet_has_spare_capacity,
       .request_hash = request.hash},
      settings_.admission);
  decision.rule = admission.rule;
  decision.retry_after = admission.retry_after;
  decision.verdict = admission.is_admitted ? Verdict::kSend : Verdict::kRefuse;
  return decision;
}

Decision Router::ChoosePlain(const RoutedRequest& request,
                             const std::vector<const Upstream*>& candidates,
                             kernel::TimePoint now) {
  std::vector<PlainCandidate> rows;
  rows.reserve(candidates.size());
  for (const Upstream* upstream : candidates) {
    rows.push_back(
        {.upstream_hash = upstream->hash,
         .in_flight = StateOf(*upstream).in_flight,
         .slots = upstream->slots,
         .is_same_data_centre = upstream->data_centre == settings_.data_centre,
         .is_avoided = health_.IsAvoided(upstream->id, now)});
  }
  Decision decision;
  decision.verdict = Verdict::kSend;
  decision.upstream = *candidates[PickPlain(rows, request.hash)];
  return decision;
}

bool Router::TrySpendRetry(const RoutedRequest& request,
                           kernel::TimePoint now) {
  const bool may_end_another =
      request.lost_at_start.has_value() &&
      beliefs_.facts().Find(FactKind::kStartEnded, *request.lost_at_start) !=
          nullptr &&
      !beliefs_.MayRepeatAfterEnd(request.subjects, *request.lost_at_start);
  return !may_end_another && request.route->is_repeatable() &&
         request.send_count < request.route->attempts &&
         now < request.deadline &&
         budget_.TrySpend(request.service, instances_, now);
}

void Router::OnSent(RoutedRequest& request,
                    const Decision& decision,
                    kernel::TimePoint now) {
  const Upstream& upstream = decision.upstream;
  request.tried_upstreams.push_back(upstream.id);
  ++request.send_count;
  request.sent_at = now;
  request.is_answer_proven = false;
  request.is_counted_by_attempt = false;
  request.lost_at_start.reset();
  request.is_trial = beliefs_.OnSent(request.subjects, now);
  health_.StartTrial(upstream.id, now);
  UpstreamState& state = StateOf(upstream);
  ++state.in_flight;
  if (state.engine == nullptr || !request.prompt.has_value()) {
    return;
  }
  state.engine->Claim(request.id, request.part_keys, request.prompt->parts,
                      request.prompt->max_output_tokens, now);
  if (!request.workspace.empty() && !request.is_counted_in_share) {
    request.is_counted_in_share = true;
    request.is_counted_by_attempt = true;
    shares_.OnAdmitted(HashOf(request.workspace), ShareTokens(*request.prompt),
                       now);
  }
}

void Router::OnFirstEvent(const RoutedRequest& request,
                          const Upstream& upstream,
                          kernel::TimePoint now) {
  const auto state = upstreams_.find(upstream.id);
  if (state != upstreams_.end() && state->second.engine != nullptr) {
    state->second.engine->OnFirstEvent(request.id, now);
  }
}

void Router::Release(const RoutedRequest& request,
                     const Upstream& upstream,
                     bool was_executed,
                     kernel::TimePoint now) {
  const auto state = upstreams_.find(upstream.id);
  if (state == upstreams_.end()) {
    return;
  }
  state->second.in_flight -= state->second.in_flight > 0 ? 1 : 0;
  if (state->second.engine != nullptr) {
    state->second.engine->OnEnd(request.id, was_executed, now);
  }
}

void Router::OnEnded(RoutedRequest& request,
                     const Upstream& upstream,
                     Outcome outcome,
                     kernel::TimePoint now) {
  health_.Record(upstream.id, outcome, now);
  if (outcome == Outcome::kUnreachable) {
    SuspectCold(upstream, now);
  } else if (outcome == Outcome::kWrongInstance) {
    directory_.MarkAbsent(upstream, now);
  }
  RecordSubjects(request, upstream, outcome, now);
  Release(request, upstream, MayHaveExecuted(outcome), now);
  if (request.is_counted_by_attempt && !MayHaveExecuted(outcome)) {
    request.is_counted_by_attempt = false;
    request.is_counted_in_share = false;
    shares_.OnNotExecuted(HashOf(request.workspace),
                          ShareTokens(*request.prompt), now);
  }
}

void Router::OnAnswerContinues(RoutedRequest& request,
                               kernel::TimePoint began_at,
                               kernel::TimePoint now) {
  if (!request.is_answer_proven && now - began_at >= kAnswerProofTime) {
    request.is_answer_proven = true;
    beliefs_.OnAnswerBegan(request.subjects, began_at, now);
  }
}

void Router::RecordSubjects(RoutedRequest& request,
                            const Upstream& upstream,
                            Outcome outcome,
                            kernel::TimePoint now) {
  if (request.is_answer_proven) {
    return;
  }
  // An engine can fail before it begins an answer on the prompt.
  const bool has_answered =
      outcome == Outcome::kSuccess ||
      (outcome == Outcome::kServerError && !request.prompt.has_value());
  if (has_answered) {
    beliefs_.OnAnswerBegan(request.subjects, now, now);
  } else if (outcome == Outcome::kLost) {
    request.lost_at_start = StartOf(upstream);
    beliefs_.OnLostBeforeAnswer(upstream, request.subjects, request.sent_at,
                                now);
  }
}

void Router::OnAbandoned(const RoutedRequest& request,
                         const Upstream& upstream,
                         kernel::TimePoint now) {
  Release(request, upstream, true, now);
}

std::vector<const Upstream*> Router::RunningEngines(kernel::TimePoint now) {
  std::vector<const Upstream*> engines;
  if (table_ == nullptr) {
    return engines;
  }
  for (const Service& service : table_->state().services) {
    if (service.engine.has_value()) {
      const auto& running = directory_.Running(service.name, now);
      engines.insert(engines.end(), running.begin(), running.end());
    }
  }
  return engines;
}

std::vector<Upstream> Router::EnginesForExchange(size_t count,
                                                 kernel::TimePoint now) {
  std::vector<Upstream> engines;
  for (const Upstream* upstream : HighestWeights(
           RunningEngines(now), count, [](const Upstream& candidate) {
             return RendezvousWeight(0, candidate.address_hash);
           })) {
    engines.push_back(*upstream);
  }
  return engines;
}

void Router::Tick(kernel::TimePoint now) {
  beliefs_.DropExpired(now);
  UpdateUsablePart(now);
  for (auto& [id, state] : upstreams_) {
    if (state.engine != nullptr) {
      state.engine->DropExpired(kMaxRequestAge, now);
    }
  }
}

}  // namespace jackdawshunt::routing
