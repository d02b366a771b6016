#include "jackdawshunt/testing/platform/platform_fleet.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/testing/http_helper.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

constexpr char kHost[] = "site.example";
constexpr char kEngineService[] = "llm";
constexpr char kPlainService[] = "desk";

// Unix time at which a fleet begins, in ms.
constexpr int64_t kBeginUnixMs = 1790000000000;
// Period in which upstreams write their entries while they are cold.
constexpr kernel::Duration kEntryPeriod = std::chrono::milliseconds(1200);
// Time from the end of an overloaded cold engine until it starts again.
constexpr kernel::Duration kColdEndDownTime = std::chrono::milliseconds(1500);

std::string NetworkOfThisProcess() {
  // Tests that run at the same time do not share IPs.
  return absl::StrCat("127.", 16 + getpid() % 200);
}

int64_t Milliseconds(kernel::Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

PlatformCall::PlatformCall(kernel::EventLoop& loop,
                           std::shared_ptr<http1::ClientConnection> connection,
                           const CallOptions& options,
                           std::string id)
    : loop_(loop),
      id_(std::move(id)),
      options_(options),
      connection_(std::move(connection)),
      sent_(loop.clock().Now()) {
  http1::RequestHead head;
  head.method =
      options_.route == kFetch || options_.route == kOpen ? "GET" : "POST";
  head.target = absl::StrCat("/", options_.route, "/", options_.path);
  head.headers = {
      {"Host", kHost},
      {"Request-Id", id_},
      {"Deadline-Milliseconds", absl::StrCat(Milliseconds(options_.deadline))}};
  if (!options_.api_key.empty()) {
    head.headers.emplace_back("Authorization",
                              absl::StrCat("Token ", options_.api_key));
  }
  if (options_.route == kGenerate || options_.route == kRevise) {
    head.headers.emplace_back("Token-Counts", "1000,20");
    head.headers.emplace_back(
        "Prompt-Prefix", absl::StrCat(absl::StrReplaceAll(options_.shared_part,
                                                          {{",", ":400,"}}),
                                      ":400,b", id_, ":200"));
  }
  if (options_.last_event_id.has_value()) {
    head.headers.emplace_back("Last-Event-Id",
                              absl::StrCat(*options_.last_event_id));
  }
  if (!options_.resumed_request.empty()) {
    head.headers.emplace_back("Resumes", options_.resumed_request);
  }
  const bool has_body = head.method == "POST";
  std::string bytes = http1::Serialize(
      head,
      has_body ? std::optional<uint64_t>(options_.body.size()) : std::nullopt);
  if (has_body) {
    bytes += options_.body;
  }
  connection_->Send(bytes, false, *this);
}

PlatformCall::~PlatformCall() = default;

void PlatformCall::Leave() {
  connection_->CancelRequest();
}

bool PlatformCall::MatchesRequest(const http1::ResponseHead& head) {
  const std::string_view answered =
      http::FindHeader(head.headers, "Request-Id");
  has_foreign_answer_ =
      has_foreign_answer_ || (!answered.empty() && answered != id_);
  return true;
}

void PlatformCall::OnHead(const http1::ResponseHead& head) {
  head_ = head;
}

void PlatformCall::OnEnd() {
  is_complete_ = true;
  ended_ = loop_.clock().Now();
}

void PlatformCall::OnLost(http1::Loss loss) {
  loss_ = loss;
  ended_ = loop_.clock().Now();
}

PlatformFleet::PlatformFleet(PlatformFleetOptions options)
    : options_(std::move(options)), network_(NetworkOfThisProcess()) {
  const std::array<uint16_t, 3> ports = FreePorts();
  callers_port_ = ports[0];
  readiness_port_ = ports[1];
  internal_port_ = ports[2];
  store_ = std::make_unique<StandInStore>(loop_, http::Address{"127.0.0.1", 0});
  if (options_.has_proxies) {
    StartProxy(ProxiedHop::kStore, 0, "127.0.0.1", store_->address());
    for (size_t i = 0; i < options_.gateways; ++i) {
      StartProxy(ProxiedHop::kCallers, i, "127.0.0.1", gateway_address(i));
    }
  }
  for (size_t i = 0; i < options_.engines + options_.plain; ++i) {
    const bool is_engine = i < options_.engines;
    upstreams_.push_back(std::make_unique<StandInUpstream>(
        loop_, http::Address{UpstreamIp(i), 0},
        StandInUpstreamOptions{
            .id = absl::StrCat("i-", i),
            .service = is_engine ? kEngineService : kPlainService,
            .version =
                is_engine
                    ? options_
                          .engine_versions[i % options_.engine_versions.size()]
                    : "v1",
            .data_centre = DataCentreOfUpstream(i),
            .born_unix_ms = kBeginUnixMs,
            .is_engine = is_engine,
            .events = options_.stream_events,
            .work = options_.work,
            .answer_bytes = options_.plain_answer_bytes},
        runs_));
    upstream_addresses_.push_back({UpstreamIp(i), upstreams_[i]->port()});
    if (options_.has_proxies) {
      StartProxy(ProxiedHop::kUpstream, i, UpstreamIp(i), upstream_address(i));
    }
    PutUpstream(i);
  }
  PutConfiguration({"key-lodge"});
  began_ = now();
  if (options_.cold_starts.has_value()) {
    entry_timer_ = loop_.Every(kEntryPeriod, [this] { RefreshColdEntries(); });
  }
  gateways_.resize(options_.gateways);
  boards_.resize(options_.engines);
}

PlatformFleet::~PlatformFleet() = default;

std::array<uint16_t, 3> PlatformFleet::FreePorts() {
  std::array<uint16_t, 3> ports{};
  std::array<int, 3> sockets{};
  for (size_t i = 0; i < ports.size(); ++i) {
    sockets.at(i) = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound = *http::ToSocketAddress({"127.0.0.1", 0});
    socklen_t length = sizeof(bound);
    const bool is_bound =
        bind(sockets.at(i), reinterpret_cast<sockaddr*>(&bound),
             sizeof(bound)) == 0 &&
        getsockname(sockets.at(i), reinterpret_cast<sockaddr*>(&bound),
                    &length) == 0;
    ports.at(i) = is_bound ? ntohs(bound.sin_port) : 0;
  }
  // Closed only now: a port that is free again may be given out twice.
  for (const int fd : sockets) {
    close(fd);
  }
  return ports;
}

std::string PlatformFleet::GatewayIp(size_t index) const {
  return absl::StrCat(network_, ".1.", 1 + index);
}

std::string PlatformFleet::UpstreamIp(size_t index) const {
  return absl::StrCat(network_, ".2.", 1 + index);
}

http::Address PlatformFleet::gateway_address(size_t index) const {
  return {GatewayIp(index), callers_port_};
}

std::string PlatformFleet::DataCentreName(size_t index) const {
  return options_.data_centres == 1 ? "z" : absl::StrCat("z", index);
}

std::string PlatformFleet::DataCentreOfUpstream(size_t index) const {
  // Neighbours are in different ones, also after a whole round, so that each
  // data centre gets several software versions.
  const size_t count = options_.data_centres;
  return DataCentreName((index + index / count) % count);
}

int64_t PlatformFleet::UnixMilliseconds() const {
  return kBeginUnixMs + Milliseconds(now() - began_);
}

void PlatformFleet::PutUpstream(size_t index, std::string_view state) {
  const StandInUpstreamOptions& options = upstreams_[index]->options();
  states_[options.id] = std::string(state);
  if (!IsUpstreamUp(index)) {
    return;
  }
  const kernel::Duration cold = upstreams_[index]->cold_remaining();
  if (cold > kernel::Duration::zero()) {
    stated_cold_.insert(options.id);
  } else {
    stated_cold_.erase(options.id);
  }
  store_->Put("servers", options.id,
              {{"service", options.service},
               {"address",
                Through(ProxiedHop::kUpstream, index, upstream_address(index))
                    .ToString()},
               {"zone", options.data_centre},
               {"version", options.version},
               {"slots", 64},
               {"state", state},
               {"coldRemainingMs", Milliseconds(cold)},
               {"sequence", 1},
               {"born", options.born_unix_ms}});
}

void PlatformFleet::RefreshColdEntries() {
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const std::string& id = upstreams_[i]->options().id;
    if (stated_cold_.contains(id)) {
      PutUpstream(i, states_.at(id));
    }
  }
}

void PlatformFleet::DeleteUpstream(size_t index) {
  stated_cold_.erase(upstreams_[index]->options().id);
  store_->Delete("servers", upstreams_[index]->options().id);
}

void PlatformFleet::ReplaceUpstream(size_t index, const std::string& version) {
  const http::Address address = upstream_address(index);
  StandInUpstreamOptions options = upstreams_[index]->options();
  DeleteUpstream(index);
  upstreams_[index]->Stop();
  options.version = version;
  StartSuccessor(index, address, std::move(options));
}

void PlatformFleet::StartSuccessor(size_t index,
                                   const http::Address& address,
                                   StandInUpstreamOptions options) {
  options.id = absl::StrCat("i-", index, "-", 1 + replaced_upstreams_.size());
  StartInPlace(index, address, std::move(options));
  PutUpstream(index);
}

void PlatformFleet::StartInPlace(size_t index,
                                 const http::Address& address,
                                 StandInUpstreamOptions options) {
  replaced_upstreams_.push_back(std::move(upstreams_[index]));
  const bool is_cold = options.is_engine && options_.cold_starts.has_value();
  if (is_cold) {
    options.born_unix_ms = UnixMilliseconds();
  }
  upstreams_[index] = std::make_unique<StandInUpstream>(
      loop_, address, std::move(options), runs_);
  Arm(index);
  if (is_cold) {
    SetCold(index, options_.cold_starts->time, /*is_start=*/true);
  }
}

void PlatformFleet::SetCold(size_t index,
                            kernel::Duration time,
                            bool is_start) {
  StandInUpstream& upstream = *upstreams_[index];
  cold_spans_.push_back({&upstream, now(), now() + time, is_start});
  upstream.SetCold(
      options_.cold_starts->per_second, time, [this, index, &upstream] {
        if (&upstream == upstreams_[index].get() && IsUpstreamUp(index)) {
          cold_ends_.push_back({upstream.options().id, "", now()});
          RestartUpstream(index, kColdEndDownTime);
        }
      });
}

void PlatformFleet::TurnCold(size_t index, kernel::Duration time) {
  if (IsUpstreamUp(index)) {
    SetCold(index, time, /*is_start=*/false);
    PutUpstream(index, states_.at(upstreams_[index]->options().id));
  }
}

void PlatformFleet::RestartUpstream(size_t index, kernel::Duration down_for) {
  if (!IsUpstreamUp(index)) {
    return;
  }
  const http::Address address = upstream_address(index);
  upstreams_[index]->Stop();
  const auto proxy = proxies_.find({ProxiedHop::kUpstream, index});
  if (proxy != proxies_.end()) {
    proxy->second.process->Kill();  // A proxy would accept connections.
  }
  down_[index] = loop_.After(down_for, [this, index, address] {
    down_.erase(index);
    StandInUpstreamOptions options = upstreams_[index]->options();
    options.born_unix_ms = UnixMilliseconds();
    StartInPlace(index, address, std::move(options));
    const auto proxy = proxies_.find({ProxiedHop::kUpstream, index});
    if (proxy != proxies_.end()) {
      StartProxy(ProxiedHop::kUpstream, index, proxy->second.ip, address,
                 proxy->second.port);
    }
    PutUpstream(index, states_.at(upstreams_[index]->options().id));
  });
}

std::vector<const StandInUpstream*> PlatformFleet::AllUpstreams() const {
  std::vector<const StandInUpstream*> all;
  for (const auto* const upstreams : {&replaced_upstreams_, &upstreams_}) {
    for (const auto& upstream : *upstreams) {
      all.push_back(upstream.get());
    }
  }
  return all;
}

void PlatformFleet::Evacuate(const std::string& data_centre) {
  store_->Put("evacuations", data_centre, json::object());
}

void PlatformFleet::TakeBack(const std::string& data_centre) {
  store_->Delete("evacuations", data_centre);
}

void PlatformFleet::EndUpstream(size_t index,
                                kernel::Duration down_for,
                                kernel::Duration listed_for) {
  if (!IsUpstreamUp(index)) {
    return;
  }
  const http::Address address = upstream_address(index);
  const StandInUpstreamOptions& options = upstreams_[index]->options();
  upstreams_[index]->Stop();
  listed_[options.id] = loop_.After(
      listed_for, [this, id = options.id] { store_->Delete("servers", id); });
  down_[index] = loop_.After(down_for, [this, index, address, options] {
    down_.erase(index);
    StartSuccessor(index, address, options);
  });
}

StandInUpstream::CrashFunction PlatformFleet::EndsUpstream(
    size_t index,
    kernel::Duration down_for,
    kernel::Duration listed_for,
    std::vector<DeadlyEnd>& ends) {
  return [this, index, down_for, listed_for, &ends,
          upstream = upstreams_[index].get()](const std::string& request) {
    if (upstream == upstreams_[index].get() && IsUpstreamUp(index)) {
      ends.push_back({upstream->options().id, request, now()});
      EndUpstream(index, down_for, listed_for);
    }
  };
}

void PlatformFleet::Arm(size_t index) {
  if (arm_part_ && index < options_.engines) {
    arm_part_(index);
  }
  if (arm_request_) {
    arm_request_(index);
  }
}

void PlatformFleet::SetDeadlyPart(const std::string& part,
                                  kernel::Duration down_for,
                                  kernel::Duration listed_for) {
  arm_part_ = [this, part, down_for, listed_for](size_t index) {
    upstreams_[index]->SetDeadlyPart(
        part, EndsUpstream(index, down_for, listed_for, deadly_ends_));
  };
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    Arm(i);
  }
}

void PlatformFleet::SetDeadlyRequest(const std::string& marker,
                                     kernel::Duration down_for,
                                     kernel::Duration listed_for) {
  arm_request_ = [this, marker, down_for, listed_for](size_t index) {
    upstreams_[index]->SetDeadlyRequest(
        marker,
        EndsUpstream(index, down_for, listed_for, deadly_request_ends_));
  };
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    Arm(i);
  }
}

void PlatformFleet::PutConfiguration(
    const std::vector<std::string>& lodge_keys) {
  WriteConfiguration({{{"name", "lodge"}, {"apiKeys", lodge_keys}},
                      {{"name", "school"}, {"apiKeys", {"key-school"}}}});
}

void PlatformFleet::PutConfigurationWithoutWorkspaces() {
  WriteConfiguration(json::array());
}

void PlatformFleet::WriteConfiguration(const json& workspaces) {
  const auto route = [this](const char* name, const char* kind,
                            const char* service, int attempts, bool is_public,
                            bool is_resumable) {
    return json{{"name", name},
                {"host", kHost},
                {"pathPrefix", absl::StrCat("/", name, "/")},
                {"kind", kind},
                {"timeoutMs", Milliseconds(options_.route_timeout)},
                {"targetLatencyMs", 1000},
                {"priority", 1},
                {"service", service},
                {"attempts", attempts},
                {"public", is_public},
                {"resumable", is_resumable}};
  };
  json engine_service = {{"name", kEngineService},
                         {"connectionLimit", 100},
                         {"engine", {{"slots", 64}, {"kvTokens", 500000}}}};
  if (options_.cold_starts.has_value()) {
    engine_service["coldStartS"] =
        static_cast<double>(Milliseconds(options_.cold_starts->time)) / 1000;
    engine_service["coldPerS"] = options_.cold_starts->per_second;
  }
  store_->Put(
      "config", "main",
      {{"version", ++version_},
       {"routes",
        {route(kGenerate, "streaming", kEngineService, 1, false, false),
         route(kRevise, "streaming", kEngineService, 2, false, true),
         route(kHold, "unsafe", kPlainService, 1, false, false),
         route(kFetch, "safe", kPlainService, 2, false, false),
         route(kOpen, "safe", kPlainService, 2, true, false)}},
       {"services",
        {engine_service, {{"name", kPlainService}, {"connectionLimit", 100}}}},
       {"limits",
        {{"headerBytes", 16384},
         {"bodyBytes", options_.body_bytes},
         {"headerTimeoutMs", 3000},
         {"idleTimeoutMs", 15000},
         {"tokensPerS", 1000000}}},
       {"tenants", workspaces}});
}

std::string PlatformFleet::WriteSettings(const std::string& name,
                                         const std::string& ip,
                                         const std::string& data_centre,
                                         std::string more) {
  if (options_.cold_starts.has_value()) {
    absl::StrAppend(&more, "bounds.coldOverage=", kColdOverage,
                    "\nbounds.coldSlack=", kColdSlack, "\n");
  }
  if (options_.evacuation.has_value()) {
    absl::StrAppend(
        &more, "bounds.evacuateMs=", Milliseconds(*options_.evacuation), "\n");
  }
  std::string path = absl::StrCat(folder_.path(), "/", name, ".conf");
  std::ofstream(path) << absl::StrCat(
      "node=", name, "\nip=", ip, "\nzone=", data_centre,
      "\ninternalPorts=", internal_port_, ",", internal_port_,
      "\nplatform.address=",
      Through(ProxiedHop::kStore, 0, store_->address()).ToString(),
      "\nbounds.revokeMs=", Milliseconds(options_.revocation),
      "\nbounds.strictRevocation=true\nbounds.graceS=",
      options_.termination_grace.count(),
      "\nbounds.budgetRatio=0.2\nbounds.budgetWindowS=10\n"
      "bounds.budgetSlack=50\nlimits.memoryMb=",
      options_.memory_mb,
      "\nlimits.fileDescriptors=", options_.file_descriptors, "\n", more);
  return path;
}

void PlatformFleet::StartGateway(size_t index) {
  const std::string name = absl::StrCat("gateway-", index);
  const std::string path = WriteSettings(
      name, GatewayIp(index), DataCentreName(index % options_.data_centres),
      absl::StrCat("listen.front=", GatewayIp(index), ":", callers_port_,
                   "\nlisten.ready=", GatewayIp(index), ":", readiness_port_,
                   "\n"));
  gateways_[index] =
      *Process::Start({.command = {MainBinary(), "gateway", "--settings", path},
                       .folder = folder_.path(),
                       .name = name,
                       .has_ports_file = false});
}

void PlatformFleet::StartBoard(size_t index) {
  const std::string name = absl::StrCat("board-", index);
  const std::string path = WriteSettings(
      name, UpstreamIp(index), DataCentreOfUpstream(index),
      absl::StrCat("app=", upstream_address(index).ToString(), "\n"));
  boards_[index] =
      *Process::Start({.command = {MainBinary(), "board", "--settings", path},
                       .folder = folder_.path(),
                       .name = name,
                       .has_ports_file = false});
}

void PlatformFleet::Start() {
  for (size_t i = 0; i < boards_.size(); ++i) {
    StartBoard(i);
  }
  for (size_t i = 0; i < gateways_.size(); ++i) {
    StartGateway(i);
  }
  for (size_t i = 0; i < gateways_.size(); ++i) {
    while (!IsReady(i) && gateways_[i]->is_running()) {
    }
  }
}

bool PlatformFleet::IsReady(size_t gateway) {
  struct Probe final : http1::ResponseReceiver {
    bool MatchesRequest(const http1::ResponseHead&) override { return true; }
    void OnHead(const http1::ResponseHead& head) override {
      status = head.status;
    }
    void OnBody(std::string_view) override {}
    void OnEnd() override { is_done = true; }
    void OnLost(http1::Loss) override { is_done = true; }
    int status = 0;
    bool is_done = false;
  } probe;
  http1::ClientConnection connection(loop_,
                                     {GatewayIp(gateway), readiness_port_}, {});
  connection.Send(
      http1::Serialize(http1::RequestHead{.method = "GET",
                                          .target = "/jackdawshunt/readiness",
                                          .headers = {{"Host", "x"}}},
                       std::nullopt),
      false, probe);
  Await([&] { return probe.is_done; });
  return probe.status == 200;
}

std::shared_ptr<PlatformCall> PlatformFleet::Call(size_t gateway,
                                                  const CallOptions& options) {
  std::string id =
      options.request_id.empty()
          ? absl::StrCat(absl::Hex(next_request_++, absl::kZeroPad8))
          : options.request_id;
  routes_[id] = options.route;
  return std::make_shared<PlatformCall>(
      loop_,
      options.keeps_connection ? KeptConnection(gateway)
                               : std::make_shared<http1::ClientConnection>(
                                     loop_,
                                     Through(ProxiedHop::kCallers, gateway,
                                             gateway_address(gateway)),
                                     http1::ClientConnectionOptions{}),
      options, std::move(id));
}

std::shared_ptr<http1::ClientConnection> PlatformFleet::KeptConnection(
    size_t gateway) {
  auto& kept = kept_[gateway];
  std::erase_if(kept, [](const auto& connection) {
    return !connection->is_busy() && !connection->is_usable();
  });
  for (const auto& connection : kept) {
    if (!connection->is_busy()) {
      return connection;
    }
  }
  kept.push_back(std::make_shared<http1::ClientConnection>(
      loop_, Through(ProxiedHop::kCallers, gateway, gateway_address(gateway)),
      http1::ClientConnectionOptions{}));
  return kept.back();
}

void PlatformFleet::StartProxy(ProxiedHop hop,
                               size_t index,
                               const std::string& ip,
                               const http::Address& target,
                               uint16_t port) {
  const std::string name =
      absl::StrCat("proxy-", static_cast<int>(hop), "-", index);
  auto process = *Process::Start(
      {.command = {StandInsBinary(), "proxy", "--target", target.ToString(),
                   "--ip", ip, "--port", absl::StrCat(port)},
       .folder = folder_.path(),
       .name = name});
  const uint16_t bound = process->Port("port");
  proxies_[{hop, index}] = {ip, bound, std::move(process)};
}

http::Address PlatformFleet::Through(ProxiedHop hop,
                                     size_t index,
                                     const http::Address& target) const {
  const auto proxy = proxies_.find({hop, index});
  return proxy == proxies_.end()
             ? target
             : http::Address{proxy->second.ip, proxy->second.port};
}

bool PlatformFleet::Await(const std::function<bool()>& done) {
  return loop_.RunUntil(
      done, std::chrono::duration_cast<kernel::Duration>(kDeadline));
}

void PlatformFleet::RunFor(kernel::Duration time) {
  loop_.RunUntil([] { return false; }, time);
}

void PlatformFleet::SetProxy(ProxiedHop hop,
                             size_t index,
                             const std::string& faults) {
  const ProxyProcess& proxy = proxies_.at({hop, index});
  if (!proxy.process->is_running()) {
    return;
  }
  const auto answer =
      Fetch({"127.0.0.1", proxy.process->Port("admin_port")},
            {.method = "POST", .path = "/admin/faults", .body = faults});
  if (!answer.ok() || answer->status != 200) {
    base::Log(base::LogLevel::kError, "proxy_not_set", {{"faults", faults}});
  }
}

std::vector<std::string> PlatformFleet::RunTwice() const {
  std::vector<std::string> twice;
  for (const auto& [id, runs] : runs_) {
    const auto route = routes_.find(id);
    const bool is_once = route == routes_.end() || route->second == kGenerate ||
                         route->second == kHold;
    if (runs.size() > 1 && is_once) {
      twice.push_back(id);
    }
  }
  return twice;
}

}  // namespace jackdawshunt::testing
