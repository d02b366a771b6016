// A small installation of the users' platform on one machine: gateways and
// boards as real processes, the store and the upstreams as stand-ins in the
// test's own event loop. Each machine has an IP of its own in 127.0.0.0/8.
//
// Example:
//   testing::PlatformFleet fleet({.gateways = 2, .engines = 3});
//   fleet.Start();
//   auto caller = fleet.Call(0, {.route = "generate"});
//   fleet.Await([&] { return caller->is_done(); });
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_PLATFORM_FLEET_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_PLATFORM_FLEET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/testing/platform/stand_in_store.h"
#include "jackdawshunt/testing/platform/stand_in_upstream.h"
#include "jackdawshunt/testing/process.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

// How engines are cold after a start.
struct ColdStarts {
  double per_second = 0;    // Requests that one takes meanwhile.
  kernel::Duration time{};  // From the start on.
};

struct PlatformFleetOptions {
  size_t gateways = 1;
  size_t engines = 2;
  // Software versions of the engines, in turn.
  std::vector<std::string> engine_versions = {"v1"};
  size_t plain = 2;
  kernel::Duration revocation = std::chrono::seconds(5);
  kernel::Duration route_timeout = std::chrono::seconds(8);
  uint32_t stream_events = 5;
  kernel::Duration work = std::chrono::milliseconds(5);  // Of each run.
  std::chrono::seconds termination_grace{8};             // Of each process.
  // Puts a proxy that injects faults on each hop of ProxiedHop.
  bool has_proxies = false;
  uint32_t file_descriptors = 4100;  // Of each process.
  uint32_t memory_mb = 260;          // Of each process.
  size_t body_bytes = 1048576;       // Limit of the configuration.
  // Least size of the answers of plain upstreams.
  size_t plain_answer_bytes = 0;
  // Gateways and upstreams are spread over so many, named by DataCentreName().
  size_t data_centres = 1;
  // Of engines that start while the fleet runs. Absent: none is ever cold, and
  // neither configuration nor settings name cold starts.
  std::optional<ColdStarts> cold_starts;
  // Bound within which an evacuation holds. Absent: the settings name none.
  std::optional<kernel::Duration> evacuation;
};

// Where a proxy can stand.
enum class ProxiedHop {
  kCallers,   // Between callers and one gateway.
  kUpstream,  // Between gateways and one upstream.
  kStore,     // Between all processes and the store.
};

// Routes of the installation, by the first part of the path.
inline constexpr char kGenerate[] = "generate";  // Streams, at most once.
inline constexpr char kRevise[] = "revise";      // Streams, resumable.
inline constexpr char kHold[] = "hold";          // Plain, at most once.
inline constexpr char kFetch[] = "fetch";        // Plain, repeatable.
inline constexpr char kOpen[] = "open";          // As fetch, without a key.

struct CallOptions {
  std::string route = kGenerate;
  std::string path = "x";  // Below the route's, with the query.
  std::string api_key = "key-lodge";
  kernel::Duration deadline = std::chrono::seconds(8);
  std::string body = "{}";
  // Ids of the shared parts of the prompt, separated by commas. The preferred
  // engines depend on them.
  std::string shared_part = "a1";
  // Resumes the stream that the request `resumed_request` began.
  std::optional<uint64_t> last_event_id;
  std::string resumed_request;
  std::string request_id;  // A new one if empty.
  // Uses a connection that was kept after an earlier call, and keeps it.
  bool keeps_connection = false;
};

// One request of a caller and its answer.
class PlatformCall final : public http1::ResponseReceiver {
 public:
  PlatformCall(kernel::EventLoop& loop,
               std::shared_ptr<http1::ClientConnection> connection,
               const CallOptions& options,
               std::string id);
  ~PlatformCall() override;

  const std::string& id() const { return id_; }
  const CallOptions& options() const { return options_; }
  bool is_done() const { return is_complete_ || loss_.has_value(); }
  bool is_complete() const { return is_complete_; }
  std::optional<http1::Loss> loss() const { return loss_; }
  int status() const { return head_.status; }
  const http1::ResponseHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  bool has_foreign_answer() const { return has_foreign_answer_; }
  kernel::Duration total() const { return ended_ - sent_; }
  // The caller leaves.
  void Leave();

  // http1::ResponseReceiver:
  bool MatchesRequest(const http1::ResponseHead& head) override;
  void OnHead(const http1::ResponseHead& head) override;
  void OnBody(std::string_view data) override { body_.append(data); }
  void OnEnd() override;
  void OnLost(http1::Loss loss) override;

 private:
  kernel::EventLoop& loop_;
  const std::string id_;
  const CallOptions options_;
  const std::shared_ptr<http1::ClientConnection> connection_;
  http1::ResponseHead head_{.status = 0, .headers = {}};
  std::string body_;
  bool is_complete_ = false;
  bool has_foreign_answer_ = false;
  std::optional<http1::Loss> loss_;
  kernel::TimePoint sent_{};
  kernel::TimePoint ended_{};
};

class PlatformFleet {
 public:
  explicit PlatformFleet(PlatformFleetOptions options);
  ~PlatformFleet();

  // Starts all processes and waits until the gateways are ready.
  void Start();
  void StartGateway(size_t index);
  void StartBoard(size_t index);

  std::shared_ptr<PlatformCall> Call(size_t gateway,
                                     const CallOptions& options);
  // Runs the loop until `done`. False after kDeadline.
  bool Await(const std::function<bool()>& done);
  void RunFor(kernel::Duration time);
  bool IsReady(size_t gateway);

  // Writes the configuration with the keys of the workspaces "lodge" and
  // "school"; a new version each time.
  void PutConfiguration(const std::vector<std::string>& lodge_keys);
  // Writes the configuration without any workspace, and so without any key.
  void PutConfigurationWithoutWorkspaces();
  // Writes the entry of an upstream; once it starts again if it is down for a
  // restart, not at all if it is down otherwise.
  void PutUpstream(size_t index, std::string_view state = "ready");
  void DeleteUpstream(size_t index);
  // Replaces an upstream by a new one with another id and this software
  // version, at the same address.
  void ReplaceUpstream(size_t index, const std::string& version);

  // Ends an upstream without notice. Its entry stays for `listed_for`; after
  // `down_for` it starts again with another id at the same address.
  void EndUpstream(size_t index,
                   kernel::Duration down_for,
                   kernel::Duration listed_for);
  // Ends an upstream without notice, for `down_for`. It starts again under its
  // old id, later born, and an engine is cold then where the options ask for
  // it. Its entry stays; nothing listens at its address meanwhile.
  void RestartUpstream(size_t index, kernel::Duration down_for);
  // Makes an engine cold for `time` from now on, without another start, and
  // writes its entry. Requires cold starts in the options.
  void TurnCold(size_t index, kernel::Duration time);
  // One time in which an engine was cold.
  struct ColdSpan {
    const StandInUpstream* upstream = nullptr;
    kernel::TimePoint from{};
    kernel::TimePoint to{};  // Or until it has ended before.
    bool is_start = false;   // Cold from its start on.
  };
  const std::vector<ColdSpan>& cold_spans() const { return cold_spans_; }

  // Writes and removes the store's object that asks for an evacuation. The
  // store has acknowledged it when the function returns.
  void Evacuate(const std::string& data_centre);
  void TakeBack(const std::string& data_centre);
  std::string DataCentreName(size_t index) const;
  std::string DataCentreOfUpstream(size_t index) const;

  // Makes engines end as above when they begin an answer to a prompt that holds
  // this part; empty for none.
  void SetDeadlyPart(const std::string& part,
                     kernel::Duration down_for,
                     kernel::Duration listed_for);
  // Makes all upstreams end as above when they begin an answer to a request
  // whose target or body holds this marker; empty for none.
  void SetDeadlyRequest(const std::string& marker,
                        kernel::Duration down_for,
                        kernel::Duration listed_for);
  struct DeadlyEnd {
    std::string upstream;
    std::string request;
    kernel::TimePoint at{};
  };
  // Ends of cold engines that were sent too much so far; of no one request.
  // Each starts again as in RestartUpstream().
  const std::vector<DeadlyEnd>& cold_ends() const { return cold_ends_; }
  // Ends of engines by the deadly part so far.
  const std::vector<DeadlyEnd>& deadly_ends() const { return deadly_ends_; }
  // Ends of upstreams by deadly requests so far.
  const std::vector<DeadlyEnd>& deadly_request_ends() const {
    return deadly_request_ends_;
  }
  // Returns whether the upstream runs.
  bool IsUpstreamUp(size_t index) const { return !down_.contains(index); }

  // Sets faults of a proxy, as JSON. `index` is that of the gateway or
  // upstream. Does nothing for an upstream that is down for a restart.
  void SetProxy(ProxiedHop hop, size_t index, const std::string& faults);

  kernel::EventLoop& loop() { return loop_; }
  kernel::TimePoint now() const { return loop_.clock().Now(); }
  StandInStore& store() { return *store_; }
  RunLog& runs() { return runs_; }
  // The engines come first, then the plain upstreams.
  StandInUpstream& upstream(size_t index) { return *upstreams_[index]; }
  size_t upstreams() const { return upstreams_.size(); }
  // Returns also those that were replaced or started again.
  std::vector<const StandInUpstream*> AllUpstreams() const;
  Process& gateway(size_t index) { return *gateways_[index]; }
  Process& board(size_t index) { return *boards_[index]; }
  http::Address gateway_address(size_t index) const;
  // Returns the address for readiness checks.
  http::Address readiness_address(size_t index) const {
    return {GatewayIp(index), readiness_port_};
  }
  // Returns the address of health and metrics.
  http::Address operator_address(size_t index) const {
    return {GatewayIp(index), internal_port_};
  }
  // Returns its address, also while it is down.
  const http::Address& upstream_address(size_t index) const {
    return upstream_addresses_[index];
  }
  std::string GatewayLog(size_t index) const { return gateways_[index]->Log(); }
  // Runs of requests of non-idempotent routes that ran more than once.
  std::vector<std::string> RunTwice() const;

 private:
  // Writes a new version of the configuration with these workspaces, as JSON.
  void WriteConfiguration(const nlohmann::json& workspaces);
  std::string GatewayIp(size_t index) const;
  std::string UpstreamIp(size_t index) const;
  std::string WriteSettings(const std::string& name,
                            const std::string& ip,
                            const std::string& data_centre,
                            std::string more);
  // Returns different ports that the kernel gives out.
  static std::array<uint16_t, 3> FreePorts();
  // Returns a function that records an end in `ends` and ends the upstream that
  // is now at `index`.
  StandInUpstream::CrashFunction EndsUpstream(size_t index,
                                              kernel::Duration down_for,
                                              kernel::Duration listed_for,
                                              std::vector<DeadlyEnd>& ends);
  // Starts an upstream in the place of one that has ended, cold where the
  // options ask for it.
  void StartInPlace(size_t index,
                    const http::Address& address,
                    StandInUpstreamOptions options);
  void SetCold(size_t index, kernel::Duration time, bool is_start);
  // Writes the entries of upstreams that are cold or were when last written.
  void RefreshColdEntries();
  int64_t UnixMilliseconds() const;
  // Sets what is deadly for the upstream that is now at `index`.
  void Arm(size_t index);
  // Starts an upstream with another id in the place of one that has ended.
  void StartSuccessor(size_t index,
                      const http::Address& address,
                      StandInUpstreamOptions options);
  std::shared_ptr<http1::ClientConnection> KeptConnection(size_t gateway);
  void StartProxy(ProxiedHop hop,
                  size_t index,
                  const std::string& ip,
                  const http::Address& target,
                  uint16_t port = 0);
  // The address to connect to: the proxy's where there is one.
  http::Address Through(ProxiedHop hop,
                        size_t index,
                        const http::Address& target) const;

  const PlatformFleetOptions options_;
  kernel::EventLoop loop_;
  TemporaryFolder folder_;
  const std::string network_;  // The first two bytes of all IPs.
  RunLog runs_;
  std::map<std::string, std::string> routes_;  // Of requests, by their id.
  std::unique_ptr<StandInStore> store_;
  struct ProxyProcess {
    std::string ip;
    uint16_t port = 0;
    std::unique_ptr<Process> process;
  };
  std::map<std::pair<ProxiedHop, size_t>, ProxyProcess> proxies_;
  // Callers' connections to each gateway that are used again.
  std::map<size_t, std::vector<std::shared_ptr<http1::ClientConnection>>> kept_;
  std::vector<std::unique_ptr<StandInUpstream>> upstreams_;
  std::vector<http::Address> upstream_addresses_;
  std::vector<std::unique_ptr<StandInUpstream>> replaced_upstreams_;
  std::map<size_t, kernel::Timer> down_;         // Until they start again.
  std::map<std::string, kernel::Timer> listed_;  // Ended ones, by id.
  std::map<std::string, std::string> states_;    // In entries, by id.
  std::set<std::string> stated_cold_;            // Ids, in the latest entries.
  std::vector<ColdSpan> cold_spans_;
  std::vector<DeadlyEnd> cold_ends_;
  kernel::TimePoint began_{};
  kernel::Timer entry_timer_;
  std::vector<DeadlyEnd> deadly_ends_;
  std::vector<DeadlyEnd> deadly_request_ends_;
  // Set the deadly part of an engine and the deadly request of an upstream.
  std::function<void(size_t index)> arm_part_;
  std::function<void(size_t index)> arm_request_;
  std::vector<std::unique_ptr<Process>> gateways_;
  std::vector<std::unique_ptr<Process>> boards_;
  uint16_t callers_port_ = 0;
  uint16_t readiness_port_ = 0;
  uint16_t internal_port_ = 0;
  uint64_t version_ = 0;
  uint64_t next_request_ = 1;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_PLATFORM_FLEET_H_
