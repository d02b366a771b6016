// Randomized fault soak of the gateway and board roles: real processes, with
// faults injected from outside, and the promises checked from what callers and
// upstreams see.
//
//   jackdawshunt_soak --seed 7 --seconds 20
//
// Processes are killed, paused, stopped gracefully and restarted by signals, in
// series that overlap; the store refuses, resets, falls silent, drops its
// history and returns from an older copy; proxies before each gateway, each
// upstream and the store delay, reset, silence and cut one way; upstreams
// crash, misbehave, name limits, drain and return; engines are replaced by
// others of another software version; one part of prompts ends engines, and
// some requests end the plain upstreams that run them; keys are taken away.
// Engines return cold at their old ids, several together, or turn cold; data
// centres are evacuated and taken back; gateways and boards are killed at the
// same time. These faults have a random sequence of their own.
// Callers resume interrupted streams at other gateways. The same seed gives the
// same faults at the same times. Exits with 1 when a promise was broken and
// prints the first ones.
#include <csignal>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "CLI/CLI.hpp"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jackdawshunt/testing/http_helper.h"
#include "jackdawshunt/testing/platform/caller_stream.h"
#include "jackdawshunt/testing/platform/platform_fleet.h"
#include "jackdawshunt/testing/platform/soak_call.h"
#include "jackdawshunt/testing/platform/soak_cold_check.h"
#include "jackdawshunt/testing/platform/soak_deadly_check.h"
#include "jackdawshunt/testing/platform/soak_disturbances.h"
#include "jackdawshunt/testing/platform/soak_evacuation_check.h"

namespace jackdawshunt::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr kernel::Duration kCallGap = milliseconds(15);
constexpr kernel::Duration kRouteTimeout = milliseconds(2500);
// Time over which answers may be late on a busy machine.
constexpr kernel::Duration kSlack = milliseconds(1500);
constexpr kernel::Duration kRevocation = milliseconds(3000);
constexpr kernel::Duration kRecovery = seconds(12);
// Time that is judged after it, with all gateways in contact.
constexpr kernel::Duration kUndisturbed = seconds(4);
// Requests that may be lost around planned work.
constexpr size_t kTolerableLosses = 3;
constexpr uint32_t kStreamEvents = 60;
// One in so many streams holds the deadly part.
constexpr size_t kStreamsPerDeadlyPart = 25;
// One in so many plain calls is deadly.
constexpr size_t kCallsPerDeadlyRequest = 8;
// Routes of the deadly requests, which differ in content. Each comes an eighth
// of the run later than the one before.
constexpr std::array<const char*, 3> kDeadlyRoutes = {kFetch, kOpen, kHold};
// Contents of sound plain requests on each route.
constexpr size_t kSoundContents = 50;
constexpr auto kLimitWindow = seconds(4);
// Requests with which a caller resumes one stream.
constexpr int kMaxResumptions = 2;
constexpr ColdStarts kColdStarts = {.per_second = 2, .time = seconds(3)};
// Time for which an engine turns cold; longer than kContact, after which it is
// judged.
constexpr kernel::Duration kTurnedColdTime = seconds(9);
constexpr kernel::Duration kEvacuationBound = seconds(3);
constexpr size_t kDataCentres = 3;
// Software versions of engines.
constexpr std::array<const char*, 3> kVersions = {"v2", "v10", "v1.1"};

struct SoakOptions {
  uint64_t seed = 1;
  double seconds = 15;
  size_t gateways = 3;
  size_t engines = 6;
  size_t plain = 3;
  bool has_deadly_parts = true;
  bool has_deadly_requests = true;
  bool has_cold_starts = true;
  bool has_evacuations = true;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        content_random_(options.seed),
        further_random_(options.seed),
        fleet_({.gateways = options.gateways,
                .engines = options.engines,
                .engine_versions = {kVersions.begin(), kVersions.end()},
                .plain = options.plain,
                .revocation = kRevocation,
                .route_timeout = kRouteTimeout,
                .stream_events = kStreamEvents,
                .has_proxies = true,
                .data_centres = options.has_evacuations ? kDataCentres : 1,
                .cold_starts = options.has_cold_starts
                                   ? std::optional(kColdStarts)
                                   : std::nullopt,
                .evacuation = options.has_evacuations
                                  ? std::optional(kEvacuationBound)
                                  : std::nullopt}),
        disturbed_(options.gateways) {}

  int Run() {
    fleet_.SetDeadlyPart(kDeadlyPart, milliseconds(1500), milliseconds(900));
    if (options_.has_deadly_requests) {
      fleet_.SetDeadlyRequest(kDeadlyMarker, milliseconds(800),
                              milliseconds(500));
    }
    fleet_.Start();
    began_ = Now();
    const kernel::TimePoint end = began_ + RunTime();
    timers_.push_back(fleet_.loop().Every(kCallGap, [this] { StartCall(); }));
    ScheduleFurtherFault();
    while (Now() < end && violations_.empty()) {
      const auto fault = kFaults.at(Pick(kFaults.size()));
      (this->*fault)();
      fleet_.RunFor(milliseconds(50 + Pick(400)));
      CheckCalls();
    }
    Heal();
    CheckRecovery();
    if (options_.has_deadly_requests || options_.has_evacuations) {
      RunUndisturbed();
    }
    const kernel::TimePoint calls_ended = Now();
    timers_.clear();
    // Requests whose callers have left get no answer, but may still run.
    fleet_.RunFor(kRouteTimeout);
    fleet_.Await([this] {
      return std::all_of(calls_.begin(), calls_.end(),
                         [](const SoakCall& entry) {
                           return entry.has_left || entry.call->is_done();
                         });
    });
    CheckCalls();
    CheckRuns();
    CheckDeadly();
    CheckLimits();
    CheckColdStarts();
    CheckEvacuations(calls_ended);
    CheckLost();
    return Report();
  }

 private:
  using Fault = void (Soak::*)();

  kernel::TimePoint Now() const { return fleet_.now(); }
  kernel::Duration RunTime() const {
    return std::chrono::duration_cast<kernel::Duration>(
        std::chrono::duration<double>(options_.seconds));
  }
  static double Seconds(kernel::Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  size_t Pick(size_t count) { return random_() % count; }
  size_t PickContent(size_t count) { return content_random_() % count; }
  size_t PickFurther(size_t count) { return further_random_() % count; }
  void Violate(const std::string& what) { violations_.push_back(what); }
  void After(kernel::Duration delay, std::function<void()> callback) {
    timers_.push_back(fleet_.loop().After(delay, std::move(callback)));
  }

  void StartCall() {
    constexpr std::array<const char*, 6> kRoutes = {kGenerate, kRevise, kRevise,
                                                    kHold,     kFetch,  kOpen};
    SoakCall entry;
    entry.gateway = Pick(options_.gateways);
    entry.sent = Now();
    CallOptions options;
    options.route = kRoutes.at(Pick(kRoutes.size()));
    options.api_key = options.route == kOpen ? "" : PickKey();
    options.deadline = kRouteTimeout;
    options.keeps_connection = Pick(4) != 0;
    if (options.route == kGenerate || options.route == kRevise) {
      options.shared_part = absl::StrCat(Pick(6));
      // Drawn in any case, so that both settings draw the same sequence.
      const bool is_deadly = Pick(kStreamsPerDeadlyPart) == 0;
      if (is_deadly && options_.has_deadly_parts) {
        options.shared_part += absl::StrCat(",", kDeadlyPart);
      }
      entry.stream = std::make_shared<CallerStream>();
    } else if (options_.has_deadly_requests) {
      SetContent(options);
    }
    entry.call = fleet_.Call(entry.gateway, options);
    calls_.push_back(entry);
    if (Pick(25) == 0) {
      After(milliseconds(Pick(400)), [this, index = calls_.size() - 1] {
        if (calls_[index].call->is_done()) {
          return;  // Its connection may carry another call.
        }
        calls_[index].has_left = true;
        calls_[index].call->Leave();
        CheckStream(calls_[index]);
      });
    }
  }

  // Makes a plain call a deadly request or one of the sound ones.
  void SetContent(CallOptions& options) {
    std::string content = absl::StrCat(PickContent(kSoundContents));
    if (PickContent(kCallsPerDeadlyRequest) == 0) {
      const size_t begun =
          std::min(kDeadlyRoutes.size(),
                   1 + static_cast<size_t>((Now() - began_) / (RunTime() / 8)));
      options.route = kDeadlyRoutes.at(PickContent(begun));
      options.api_key = options.route == kOpen ? "" : key_;
      content = kDeadlyMarker;
    } else if (PickContent(2) == 0) {
      return;
    }
    if (options.route == kHold) {
      options.body = content;
    } else {
      options.path = absl::StrCat("x?job=", content);
    }
  }

  // Continues the stream of `interrupted` with a request at any gateway.
  void ResumeStream(const SoakCall& interrupted) {
    SoakCall entry;
    entry.gateway = Pick(options_.gateways);
    entry.sent = Now();
    entry.stream = interrupted.stream;
    entry.resumptions = interrupted.resumptions + 1;
    entry.call = fleet_.Call(entry.gateway,
                             entry.stream->Resume(interrupted.call->options()));
    resumptions_ += 1;
    resumed_.push_back(std::move(entry));
  }

  // Checks the stream of a request that has ended or whose caller has left, and
  // resumes it if it is interrupted.
  void CheckStream(SoakCall& entry) {
    if (entry.stream == nullptr) {
      return;
    }
    const PlatformCall& call = *entry.call;
    CallerStream& stream = *entry.stream;
    const uint64_t known_events = stream.last_event_id();
    if (call.status() == 200) {
      stream.Append(call);
    }
    if (entry.resumptions > 0 && stream.last_event_id() > known_events) {
      ++continued_;
    }
    if (const std::string fault = stream.Fault(); !fault.empty()) {
      Violate(fault);
    }
    if (call.is_complete() && call.status() == 200) {
      if (stream.last_event_id() != kStreamEvents) {
        Violate(absl::StrCat(call.id(), " looks complete after event ",
                             stream.last_event_id()));
      }
    } else if (call.options().route == kRevise && stream.last_event_id() > 0 &&
               stream.last_event_id() < kStreamEvents &&
               entry.resumptions < kMaxResumptions) {
      ResumeStream(entry);
    }
  }

  // Mostly a key in force, now and then one that was taken away.
  std::string PickKey() {
    if (!revoked_.empty() && Pick(6) == 0) {
      return std::prev(revoked_.end())->first;
    }
    return key_;
  }

  // --- Faults.
  void KillGateway() {
    const size_t i = Pick(options_.gateways);
    Disturb(i, seconds(2));
    fleet_.gateway(i).Kill();
    After(milliseconds(100 + Pick(1500)), [this, i] { RestartGateway(i); });
  }
  void PauseGateway() {
    const size_t i = Pick(options_.gateways);
    const auto time = milliseconds(100 + Pick(4000));
    Disturb(i, time);
    fleet_.gateway(i).Pause();
    After(time, [this, i] { fleet_.gateway(i).Continue(); });
  }
  void StopGateway() {
    const size_t i = Pick(options_.gateways);
    Disturb(i, seconds(4), /*is_planned=*/true);
    fleet_.gateway(i).Terminate();
    After(seconds(4), [this, i] { RestartGateway(i); });
  }
  void RestartGateway(size_t i) {
    if (!fleet_.gateway(i).is_running()) {
      Disturb(i, seconds(1));
      fleet_.StartGateway(i);
    }
  }
  void HangUpGateway() {
    fleet_.gateway(Pick(options_.gateways)).Signal(SIGHUP);
  }
  void KillBoard() {
    const size_t i = Pick(options_.engines);
    fleet_.board(i).Kill();
    After(milliseconds(Pick(2000)), [this, i] { RestartBoard(i); });
  }
  void RestartBoard(size_t i) {
    if (!fleet_.board(i).is_running()) {
      fleet_.StartBoard(i);
    }
  }
  void PauseBoard() {
    const size_t i = Pick(options_.engines);
    fleet_.board(i).Pause();
    After(milliseconds(Pick(3000)), [this, i] { fleet_.board(i).Continue(); });
  }
  void FailStore() {
    constexpr std::array kFaultsOfStore = {StoreFault::kBusy, StoreFault::kMany,
                                           StoreFault::kReset,
                                           StoreFault::kSilent};
    const auto time = milliseconds(100 + Pick(3500));
    DisturbAll(time);
    fleet_.store().SetFault(kFaultsOfStore.at(Pick(kFaultsOfStore.size())));
    After(time, [this] { fleet_.store().SetFault(StoreFault::kNone); });
  }
  void FailStoreConnections() {
    FailConnections(ProxiedHop::kStore, 0, milliseconds(100 + Pick(3000)));
  }
  void FailCallersConnections() {
    FailConnections(ProxiedHop::kCallers, Pick(options_.gateways),
                    milliseconds(100 + Pick(2000)));
  }
  void FailUpstreamConnections() {
    FailConnections(ProxiedHop::kUpstream, Pick(fleet_.upstreams()),
                    milliseconds(100 + Pick(2000)));
  }
  // A fault of the network, and of all that it disturbs.
  void FailConnections(ProxiedHop hop, size_t index, kernel::Duration time) {
    constexpr std::array<const char*, 6> kProxyFaults = {
        R"({"blackhole_to_client":true})",
        R"({"blackhole_to_target":true})",
        R"({"blackhole_to_client":true,"blackhole_to_target":true,)"
        R"("only_existing":true})",
        R"({"delay_ms":150})",
        R"({"cut":true})",
        R"({"refuse":true,"cut":true})"};
    if (hop == ProxiedHop::kStore) {
      DisturbAll(time);
    } else if (hop == ProxiedHop::kCallers) {
      Disturb(index, time);
    } else {
      DisturbUpstream(index, time);
    }
    fleet_.SetProxy(hop, index, kProxyFaults.at(Pick(kProxyFaults.size())));
    After(time, [this, hop, index] { HealProxy(hop, index); });
  }
  void HealProxy(ProxiedHop hop, size_t index) {
    fleet_.SetProxy(
        hop, index,
        R"({"blackhole_to_client":false,"blackhole_to_target":false,)"
        R"("refuse":false,"delay_ms":0})");
  }
  void DropHistory() {
    DisturbAll(milliseconds(0));
    fleet_.store().DropHistory();
  }
  // The store returns from an older copy; the operator and the upstreams write
  // theirs again within two seconds.
  void RestoreStore() {
    DisturbAll(seconds(2));
    fleet_.store().RestoreCopy(milliseconds(Pick(4000)));
    After(milliseconds(Pick(2000)),
          [this] { fleet_.PutConfiguration({key_}); });
    if (options_.has_evacuations) {
      evacuations_.OnStoreRestored(Now());
      After(milliseconds(PickFurther(2000)), [this] { RepeatEvacuations(); });
    }
    for (size_t i = 0; i < fleet_.upstreams(); ++i) {
      After(milliseconds(Pick(2000)), [this, i] {
        const std::string& id = fleet_.upstream(i).options().id;
        fleet_.PutUpstream(i, draining_.contains(id) ? "draining" : "ready");
      });
    }
  }
  void ChangeKeys() {
    revoked_[key_] = Now();
    key_ = absl::StrCat("key-", revoked_.size());
    fleet_.PutConfiguration({key_});
  }
  void MisbehaveUpstream() {
    const size_t i = Pick(fleet_.upstreams());
    const auto time = milliseconds(100 + Pick(1500));
    DisturbUpstream(i, time);
    fleet_.upstream(i).SetFault(static_cast<UpstreamFault>(
        1 + Pick(static_cast<size_t>(kLastUpstreamFault))));
    After(time,
          [this, i] { fleet_.upstream(i).SetFault(UpstreamFault::kNone); });
  }
  void CrashUpstream() {
    const size_t i = Pick(fleet_.upstreams());
    DisturbUpstream(i, {});
    fleet_.upstream(i).Crash();
  }
  void ReplaceEngine() {
    const size_t i = Pick(options_.engines);
    if (draining_.contains(fleet_.upstream(i).options().id) ||
        !fleet_.IsUpstreamUp(i)) {
      return;
    }
    DisturbUpstream(i, {});
    fleet_.ReplaceUpstream(i, kVersions.at(Pick(kVersions.size())));
    DisturbUpstream(i, {});
  }
  void DrainUpstream() {
    // One of each service is never drained.
    const size_t i = Pick(2) == 0 ? Pick(options_.engines - 1)
                                  : options_.engines + Pick(options_.plain - 1);
    const std::string id = fleet_.upstream(i).options().id;
    if (draining_.contains(id)) {
      return;
    }
    draining_[id] = Now();
    fleet_.PutUpstream(i, "draining");
    After(milliseconds(4500), [this, i, id] {
      drained_.push_back({id, draining_[id], Now()});
      draining_.erase(id);
      fleet_.PutUpstream(i);
    });
  }
  void LimitUpstream() {
    const size_t i = Pick(fleet_.upstreams());
    const double per_second = 0.5 + static_cast<double>(Pick(40)) / 10;
    const auto time = milliseconds(3000 + Pick(7000));
    fleet_.upstream(i).SetLimit(per_second);
    limits_.push_back({&fleet_.upstream(i), per_second, Now(), Now() + time});
    After(time, [upstream = &fleet_.upstream(i)] {
      upstream->SetLimit(std::nullopt);
    });
  }
  void TurnEngineCold() {
    if (options_.has_cold_starts) {
      fleet_.TurnCold(PickFurther(options_.engines), kTurnedColdTime);
    }
  }
  void ReturnEnginesCold() {
    if (!options_.has_cold_starts) {
      return;
    }
    const auto time = milliseconds(1000 + PickFurther(1500));
    const size_t count = 2 + PickFurther(options_.engines - 1);
    const size_t first = PickFurther(options_.engines);
    for (size_t n = 0; n < count; ++n) {
      const size_t i = (first + n) % options_.engines;
      DisturbUpstream(i, {});
      fleet_.RestartUpstream(i, time);
    }
  }
  void EvacuateDataCentre() {
    if (options_.has_evacuations) {
      Evacuate(PickFurther(kDataCentres), 1 + PickFurther(2));
    }
  }
  void EvacuateTwoDataCentres() {
    if (options_.has_evacuations) {
      const size_t i = PickFurther(kDataCentres);
      Evacuate(i, 1);
      Evacuate((i + 1) % kDataCentres, 1);
    }
  }
  // Evacuates a data centre and takes it back, `times` times. One of them is
  // never evacuated while the others are.
  void Evacuate(size_t i, size_t times) {
    const std::string data_centre = fleet_.DataCentreName(i);
    size_t evacuated = 0;
    for (size_t k = 0; k < kDataCentres; ++k) {
      evacuated += evacuations_.IsEvacuated(fleet_.DataCentreName(k)) ? 1 : 0;
    }
    if (times == 0 || evacuated + 1 >= kDataCentres ||
        evacuations_.IsEvacuated(data_centre)) {
      return;
    }
    fleet_.Evacuate(data_centre);
    evacuations_.OnEvacuated(data_centre, Now());
    After(milliseconds(2000 + PickFurther(6000)), [this, i, times] {
      TakeBack(fleet_.DataCentreName(i));
      After(milliseconds(PickFurther(1000)),
            [this, i, times] { Evacuate(i, times - 1); });
    });
  }
  void TakeBack(const std::string& data_centre) {
    evacuations_.OnTakenBack(data_centre, Now());
    fleet_.TakeBack(data_centre);
  }
  // The operator's writes after a restoration of the store.
  void RepeatEvacuations() {
    for (size_t i = 0; i < kDataCentres; ++i) {
      const std::string data_centre = fleet_.DataCentreName(i);
      if (evacuations_.IsEvacuated(data_centre)) {
        fleet_.Evacuate(data_centre);
      } else {
        fleet_.TakeBack(data_centre);
      }
    }
  }
  // Kills about half of all gateways and boards at the same moment.
  void KillTogether() {
    for (size_t i = 0; i < options_.gateways; ++i) {
      if (PickFurther(2) == 0) {
        Disturb(i, seconds(2));
        fleet_.gateway(i).Kill();
        After(milliseconds(100 + PickFurther(1500)),
              [this, i] { RestartGateway(i); });
      }
    }
    for (size_t i = 0; i < options_.engines; ++i) {
      if (PickFurther(2) == 0) {
        fleet_.board(i).Kill();
        After(milliseconds(PickFurther(2000)), [this, i] { RestartBoard(i); });
      }
    }
  }
  void ScheduleFurtherFault() {
    if (!options_.has_cold_starts && !options_.has_evacuations) {
      return;
    }
    After(milliseconds(300 + PickFurther(900)), [this] {
      const auto fault = kFurtherFaults.at(PickFurther(kFurtherFaults.size()));
      (this->*fault)();
      ScheduleFurtherFault();
    });
  }
  void Disturb(size_t gateway, kernel::Duration time, bool is_planned = false) {
    disturbed_[gateway].push_back({Now(), Now() + time, is_planned});
  }
  void DisturbUpstream(size_t upstream, kernel::Duration time) {
    disturbed_upstreams_[fleet_.upstream(upstream).options().id].push_back(
        {Now(), Now() + time});
  }
  void DisturbAll(kernel::Duration time) {
    for (size_t i = 0; i < disturbed_.size(); ++i) {
      Disturb(i, time);
    }
  }

  static constexpr std::array<Fault, 19> kFaults = {
      &Soak::KillGateway,
      &Soak::PauseGateway,
      &Soak::StopGateway,
      &Soak::HangUpGateway,
      &Soak::KillBoard,
      &Soak::PauseBoard,
      &Soak::FailStore,
      &Soak::FailStoreConnections,
      &Soak::FailCallersConnections,
      &Soak::FailUpstreamConnections,
      &Soak::DropHistory,
      &Soak::RestoreStore,
      &Soak::ChangeKeys,
      &Soak::MisbehaveUpstream,
      &Soak::CrashUpstream,
      &Soak::ReplaceEngine,
      &Soak::ReplaceEngine,
      &Soak::DrainUpstream,
      &Soak::LimitUpstream};
  static constexpr std::array<Fault, 5> kFurtherFaults = {
      &Soak::TurnEngineCold, &Soak::ReturnEnginesCold,
      &Soak::EvacuateDataCentre, &Soak::EvacuateTwoDataCentres,
      &Soak::KillTogether};

  // --- Checks.
  // Whether the gateway was disturbed in the span or shortly before it.
  bool WasDisturbed(size_t gateway,
                    kernel::TimePoint from,
                    kernel::TimePoint to) const {
    return testing::WasDisturbed(disturbed_[gateway], from, to);
  }

  // Requests that were passed on and whose connection ended without an answer,
  // with nothing but planned work as a reason.
  void CheckLost() {
    for (const auto* const ends :
         {&fleet_.deadly_ends(), &fleet_.deadly_request_ends(),
          &fleet_.cold_ends()}) {
      for (const PlatformFleet::DeadlyEnd& end : *ends) {
        disturbed_upstreams_[end.upstream].push_back({end.at, end.at});
      }
    }
    std::vector<std::string> lost;
    for (const SoakCall& entry : calls_) {
      const PlatformCall& call = *entry.call;
      const auto runs = fleet_.runs().find(call.id());
      if (!call.loss().has_value() || entry.has_left ||
          runs == fleet_.runs().end()) {
        continue;
      }
      const kernel::TimePoint ended = entry.sent + call.total();
      const bool is_excused =
          testing::WasDisturbed(disturbed_[entry.gateway], entry.sent, ended,
                                /*counts_planned=*/false) ||
          std::any_of(runs->second.begin(), runs->second.end(),
                      [&](const UpstreamRun& run) {
                        return testing::WasDisturbed(
                            disturbed_upstreams_[run.upstream], entry.sent,
                            ended);
                      });
      if (!is_excused) {
        lost.push_back(call.id());
      }
    }
    if (lost.size() > kTolerableLosses) {
      Violate(absl::StrCat(lost.size(), " requests lost, first ", lost[0]));
    }
  }

  void CheckCalls() {
    // Requests that resume streams are checked like others.
    std::move(resumed_.begin(), resumed_.end(), std::back_inserter(calls_));
    resumed_.clear();
    for (SoakCall& entry : calls_) {
      if (entry.is_checked || entry.has_left) {
        continue;
      }
      const PlatformCall& call = *entry.call;
      const kernel::TimePoint limit = entry.sent + kRouteTimeout + kSlack;
      if (!call.is_done()) {
        if (Now() > limit && !WasDisturbed(entry.gateway, entry.sent, Now())) {
          Violate(absl::StrCat(
              call.id(), " has no answer in time, route ", call.options().route,
              ", gateway ", entry.gateway, ", sent at ",
              Seconds(entry.sent - began_), " s, runs ",
              fleet_.runs().contains(call.id())
                  ? fleet_.runs().at(call.id()).size()
                  : 0,
              ", status ", call.status(), ", kept ",
              call.options().keeps_connection, ", body ", call.body().size()));
          entry.is_checked = true;
        }
        continue;
      }
      entry.is_checked = true;
      if (call.has_foreign_answer()) {
        Violate(absl::StrCat(call.id(), " got another request's answer"));
      }
      CheckStream(entry);
      const std::string body =
          StandInUpstream::ExpectedBody(call.id(), false, 0);
      if (call.status() == 200 && entry.stream == nullptr &&
          (call.is_complete() ? call.body() != body
                              : !absl::StartsWith(body, call.body()))) {
        Violate(absl::StrCat(call.id(), " got a wrong body: ", call.body()));
      }
    }
  }

  // What upstreams ran, against what callers were told and what was allowed.
  void CheckRuns() {
    for (const std::string& id : fleet_.RunTwice()) {
      Violate(absl::StrCat(id, " ran twice"));
    }
    for (const SoakCall& entry : calls_) {
      const PlatformCall& call = *entry.call;
      const auto runs = fleet_.runs().find(call.id());
      if (runs == fleet_.runs().end()) {
        continue;
      }
      const int status = call.is_complete() ? call.status() : 0;
      if (status == 503 || status == 429 || status == 408 || status == 421) {
        Violate(absl::StrCat(call.id(), " was answered ", status, " and ran"));
      }
      const auto revoked = revoked_.find(call.options().api_key);
      if (revoked != revoked_.end() &&
          entry.sent > revoked->second + kRevocation) {
        Violate(absl::StrCat(call.id(), " ran with a key taken away"));
      }
      for (const UpstreamRun& run : runs->second) {
        CheckDrain(entry, run);
      }
    }
  }

  void CheckDrain(const SoakCall& entry, const UpstreamRun& run) {
    for (const auto& [id, from, to] : drained_) {
      const kernel::TimePoint bound = from + seconds(2) + kSlack;
      if (run.upstream == id && run.began > bound && run.began < to &&
          !WasDisturbed(entry.gateway, from, run.began)) {
        Violate(absl::StrCat(entry.call->id(), " reached ", id,
                             " long after it was draining"));
      }
    }
  }

  void CheckDeadly() {
    DeadlyCheck check(calls_, fleet_, disturbed_);
    check.CheckParts();
    check.CheckRequests();
    for (const std::string& broken : check.violations()) {
      Violate(broken);
    }
    refused_deadly_requests_ = check.refused_requests();
    late_sends_ = check.late_sends();
  }

  std::map<std::string, size_t> GatewaysOfRequests() const {
    std::map<std::string, size_t> gateways;
    for (const SoakCall& entry : calls_) {
      gateways[entry.call->id()] = entry.gateway;
    }
    return gateways;
  }

  // Arrivals at cold engines, in any second.
  void CheckColdStarts() {
    const std::map<std::string, size_t> gateways = GatewaysOfRequests();
    for (const PlatformFleet::ColdSpan& span : fleet_.cold_spans()) {
      std::vector<kernel::TimePoint> times;
      for (const auto& arrival :
           JudgedColdArrivals(span, gateways, disturbed_)) {
        times.push_back(arrival.at);
      }
      most_cold_ = std::max(most_cold_, MostInASecond(times));
      cold_arrivals_ += times.size();
    }
    for (const std::string& broken :
         ColdViolations(fleet_.cold_spans(), kColdStarts.per_second, gateways,
                        disturbed_)) {
      Violate(broken);
    }
  }

  // Arrivals at upstreams of evacuated data centres.
  void CheckEvacuations(kernel::TimePoint calls_ended) {
    const std::map<std::string, size_t> gateways = GatewaysOfRequests();
    for (const StandInUpstream* const upstream : fleet_.AllUpstreams()) {
      for (const auto& [request, at] : upstream->arrival_log()) {
        const auto gateway = gateways.find(request);
        if (gateway != gateways.end() &&
            evacuations_.IsForbidden(upstream->options().data_centre,
                                     disturbed_[gateway->second], at)) {
          Violate(absl::StrCat(
              request, " reached ", upstream->options().id,
              " in the evacuated ", upstream->options().data_centre, " at ",
              Seconds(at - began_), " s, gateway ", gateway->second));
        }
      }
    }
    for (const std::vector<Disturbance>& disturbances : disturbed_) {
      evacuation_judged_ += evacuations_.JudgedTime(disturbances, calls_ended);
    }
  }

  // Arrivals at upstreams that name a limit, from gateways that were not
  // disturbed since well before.
  void CheckLimits() {
    const std::map<std::string, size_t> gateways = GatewaysOfRequests();
    for (const Limited& limit : limits_) {
      std::vector<kernel::TimePoint> times;
      for (const auto& arrival : limit.upstream->arrival_log()) {
        const auto gateway = gateways.find(arrival.request);
        if (arrival.at > limit.from + kContact && arrival.at < limit.to &&
            gateway != gateways.end() &&
            !WasDisturbed(gateway->second, arrival.at - kLimitWindow,
                          arrival.at)) {
          times.push_back(arrival.at);
        }
      }
      const double allowed = 1.5 * limit.per_second * 4 + 5;
      for (size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > kLimitWindow) {
          ++first;
        }
        if (static_cast<double>(last - first + 1) > allowed) {
          Violate(absl::StrCat(limit.upstream->options().id, " got ",
                               last - first + 1, " requests in 4 s, limit ",
                               limit.per_second));
          break;
        }
      }
    }
  }

  void Heal() {
    if (options_.has_evacuations) {
      // One data centre stays evacuated until all gateways are judged.
      for (size_t i = 1; i < kDataCentres; ++i) {
        TakeBack(fleet_.DataCentreName(i));
      }
      RepeatEvacuations();
      Evacuate(0, 1);
    }
    timers_.erase(timers_.begin() + 1, timers_.end());
    fleet_.store().SetFault(StoreFault::kNone);
    // The operator's write after a restoration of the store, if it was due.
    fleet_.PutConfiguration({key_});
    HealProxy(ProxiedHop::kStore, 0);
    for (size_t i = 0; i < options_.gateways; ++i) {
      HealProxy(ProxiedHop::kCallers, i);
    }
    for (size_t i = 0; i < fleet_.upstreams(); ++i) {
      HealProxy(ProxiedHop::kUpstream, i);
      fleet_.upstream(i).SetFault(UpstreamFault::kNone);
      fleet_.PutUpstream(i);
    }
    for (size_t i = 0; i < options_.gateways; ++i) {
      fleet_.gateway(i).Continue();
    }
    for (size_t i = 0; i < options_.engines; ++i) {
      fleet_.board(i).Continue();
      if (!fleet_.board(i).is_running()) {
        fleet_.StartBoard(i);
      }
    }
  }

  // Goes on with the calls until all gateways were undisturbed for a while.
  void RunUndisturbed() {
    kernel::TimePoint in_contact = Now();
    for (const std::vector<Disturbance>& spans : disturbed_) {
      for (const Disturbance& span : spans) {
        in_contact = std::max(in_contact, span.to + kContact);
      }
    }
    fleet_.RunFor(in_contact + kUndisturbed - Now());
    if (options_.has_evacuations) {
      TakeBack(fleet_.DataCentreName(0));
    }
  }

  // All gateways serve again within the recovery time.
  void CheckRecovery() {
    const kernel::TimePoint limit = Now() + kRecovery;
    std::vector<bool> serves(options_.gateways, false);
    std::vector<int> statuses(options_.gateways, 0);  // 0 without an answer.
    while (Now() < limit &&
           std::find(serves.begin(), serves.end(), false) != serves.end()) {
      for (size_t i = 0; i < options_.gateways; ++i) {
        RestartGateway(i);
        const auto call = fleet_.Call(
            i, {.route = kFetch, .api_key = key_, .deadline = kRouteTimeout});
        fleet_.Await([&call] { return call->is_done(); });
        serves[i] = call->is_complete() && call->status() == 200;
        statuses[i] = call->is_complete() ? call->status() : 0;
      }
      fleet_.RunFor(milliseconds(200));
    }
    for (size_t i = 0; i < options_.gateways; ++i) {
      if (!serves[i]) {
        Violate(absl::StrCat("gateway ", i, " does not serve again, status ",
                             statuses[i]));
      }
    }
  }

  // Returns how many lookups of origins in the gateways' logs took each number
  // of rounds of queries, and the longest time.
  nlohmann::json Lookups() {
    std::map<std::string, size_t> by_rounds;
    int64_t longest_ms = 0;
    for (size_t i = 0; i < options_.gateways; ++i) {
      for (const absl::string_view text :
           absl::StrSplit(fleet_.GatewayLog(i), '\n')) {
        const auto line = nlohmann::json::parse(
            text.begin(), text.end(), nullptr, /*allow_exceptions=*/false);
        if (line.is_object() && line.value("event", "") == "stream_origin") {
          ++by_rounds[absl::StrCat(line.value("rounds", 0))];
          longest_ms = std::max(longest_ms, line.value("ms", int64_t{0}));
        }
      }
    }
    return {{"by_rounds", by_rounds}, {"longest_ms", longest_ms}};
  }

  int Report() {
    const auto served =
        std::count_if(calls_.begin(), calls_.end(), [](const SoakCall& entry) {
          return entry.call->is_complete() && entry.call->status() == 200;
        });
    std::cout << nlohmann::json{{"seed", options_.seed},
                                {"calls", calls_.size()},
                                {"served", served},
                                {"resumptions", resumptions_},
                                {"continued", continued_},
                                {"lookups", Lookups()},
                                {"deadly_ends", fleet_.deadly_ends().size()},
                                {"deadly_request_ends",
                                 fleet_.deadly_request_ends().size()},
                                {"refused_deadly", refused_deadly_requests_},
                                {"late_sends", late_sends_},
                                {"limits", limits_.size()},
                                {"cold", fleet_.cold_spans().size()},
                                {"cold_arrivals", cold_arrivals_},
                                {"most_cold", most_cold_},
                                {"cold_ends", fleet_.cold_ends().size()},
                                {"evacuations", evacuations_.evacuations()},
                                {"evacuation_judged_s",
                                 Seconds(evacuation_judged_)},
                                {"violations", violations_.size()}}
                     .dump()
              << "\n";
    for (size_t i = 0; i < std::min<size_t>(violations_.size(), 5); ++i) {
      std::cout << "  " << violations_[i] << "\n";
    }
    return violations_.empty() ? 0 : 1;
  }

  // An upstream that names a limit for a time.
  struct Limited {
    const StandInUpstream* upstream = nullptr;
    double per_second = 0;
    kernel::TimePoint from{};
    kernel::TimePoint to{};
  };
  struct Drained {
    std::string id;
    kernel::TimePoint from{};
    kernel::TimePoint to{};
  };

  const SoakOptions options_;
  std::mt19937_64 random_;
  std::mt19937_64 content_random_;  // Of plain requests.
  std::mt19937_64 further_random_;  // Of cold starts, evacuations and kills.
  PlatformFleet fleet_;
  kernel::TimePoint began_{};
  std::vector<kernel::Timer> timers_;  // The first one starts the calls.
  std::vector<SoakCall> calls_;
  std::vector<SoakCall> resumed_;  // Not yet in calls_.
  size_t resumptions_ = 0;         // Requests that resumed streams.
  size_t continued_ = 0;           // Resumptions that brought events.
  size_t refused_deadly_requests_ = 0;
  size_t late_sends_ = 0;  // Of deadly requests, also by disturbed gateways.
  std::vector<std::vector<Disturbance>> disturbed_;  // By gateway.
  std::map<std::string, std::vector<Disturbance>> disturbed_upstreams_;
  std::string key_ = "key-lodge";
  std::map<std::string, kernel::TimePoint> revoked_;  // When it was taken away.
  std::map<std::string, kernel::TimePoint> draining_;
  std::vector<Drained> drained_;
  std::vector<Limited> limits_;
  size_t cold_arrivals_ = 0;  // That were judged.
  size_t most_cold_ = 0;      // Of these, in a second at one engine.
  EvacuationCheck evacuations_{kEvacuationBound};
  kernel::Duration evacuation_judged_{};  // Over gateways.
  std::vector<std::string> violations_;
};

}  // namespace
}  // namespace jackdawshunt::testing

int main(int argc, char** argv) {
  jackdawshunt::testing::SoakOptions options;
  CLI::App app("Randomized fault soak of gateways and boards.");
  app.add_option("--seed", options.seed, "Seed of the faults");
  app.add_option("--seconds", options.seconds, "Duration of the faults");
  app.add_option("--gateways", options.gateways, "Gateways");
  app.add_option("--engines", options.engines, "Engines, with a board each");
  app.add_option("--plain", options.plain, "Plain upstreams");
  app.add_flag("--deadly-parts,!--no-deadly-parts", options.has_deadly_parts,
               "Parts of prompts that end engines (default on)");
  app.add_flag("--deadly-requests,!--no-deadly-requests",
               options.has_deadly_requests,
               "Requests that end plain upstreams (default on)");
  app.add_flag("--cold-starts,!--no-cold-starts", options.has_cold_starts,
               "Engines that turn or return cold (default on)");
  app.add_flag("--evacuations,!--no-evacuations", options.has_evacuations,
               "Evacuated data centres (default on)");
  CLI11_PARSE(app, argc, argv);
  return jackdawshunt::testing::Soak(options).Run();
}
