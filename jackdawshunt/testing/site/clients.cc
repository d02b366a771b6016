#include "jackdawshunt/testing/site/clients.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jackdawshunt::testing {
namespace {

constexpr kernel::Duration kTimeout = std::chrono::seconds(120);
// As the default of the policy records.
constexpr double kInputWeight = 0.25;
constexpr double kBytesPerToken = 4;

}  // namespace

struct Clients::Client {
  const ClientGroup* group = nullptr;
  size_t entry = 0;
  kernel::TimePoint sent;
  bool has_first_token = false;
  double input_tokens = 0;
  std::unique_ptr<ChatCall> call;
  kernel::Timer pause;
};

Clients::Clients(kernel::EventLoop& loop,
                 const Fleet& fleet,
                 std::vector<ClientGroup> groups,
                 uint32_t seed)
    : loop_(loop),
      fleet_(fleet),
      http_client_(loop),
      groups_(std::move(groups)),
      random_(seed) {}

Clients::~Clients() = default;

void Clients::Start() {
  for (const ClientGroup& group : groups_) {
    samples_.try_emplace(group.workspace);
    for (int64_t i = 0; i < group.concurrency; ++i) {
      auto client = std::make_unique<Client>();
      client->group = &group;
      client->entry =
          group.entries[static_cast<size_t>(i) % group.entries.size()];
      clients_.push_back(std::move(client));
    }
  }
  for (const auto& client : clients_) {
    Send(*client);
  }
}

const std::map<std::string, WorkspaceSample>& Clients::Samples() {
  for (auto& [workspace, sample] : samples_) {
    sample.is_backlogged = waiting_[workspace] > 0;
  }
  return samples_;
}

http::Request Clients::NextRequest(const ClientGroup& group) {
  std::lognormal_distribution<double> length(
      std::log(static_cast<double>(group.median_tokens)), group.spread);
  const auto tokens = std::clamp<int64_t>(static_cast<int64_t>(length(random_)),
                                          1, group.max_tokens);
  return fleet_.ChatRequest(
      group.workspace,
      absl::StrCat("request ", ++sequence_, " [[tokens=", tokens, "]]"),
      {{"model", group.model},
       {"stream", true},
       {"max_tokens", group.max_tokens}});
}

void Clients::Send(Client& client) {
  const http::Request request = NextRequest(*client.group);
  client.sent = loop_.clock().Now();
  client.has_first_token = false;
  client.input_tokens =
      static_cast<double>(request.body.size()) / kBytesPerToken;
  ++waiting_[client.group->workspace];
  client.call = std::make_unique<ChatCall>(
      http_client_, fleet_.EntryAddress(client.entry), request, kTimeout,
      ChatCall::Events{
          .on_tokens = [this,
                        &client](int64_t count) { OnTokens(client, count); },
          .on_end = [this, &client](
                        const std::string& error) { OnEnd(client, error); }});
}

void Clients::OnTokens(Client& client, int64_t count) {
  constexpr double kMicrosecondsPerMs = 1000;
  WorkspaceSample& sample = samples_[client.group->workspace];
  if (!std::exchange(client.has_first_token, true)) {
    --waiting_[client.group->workspace];
    sample.service += kInputWeight * client.input_tokens;
    if (client.group->is_lookup) {
      totals_.lookup_first_token_ms.push_back(
          static_cast<double>((loop_.clock().Now() - client.sent).count()) /
          kMicrosecondsPerMs);
    }
  }
  sample.service += static_cast<double>(count);
  totals_.tokens += count;
}

void Clients::OnEnd(Client& client, const std::string& error) {
  constexpr kernel::Duration kErrorPause = std::chrono::milliseconds(100);
  if (!client.has_first_token) {
    --waiting_[client.group->workspace];
  }
  ++totals_.requests;
  kernel::Duration pause = std::chrono::milliseconds(client.group->pause_ms);
  if (!error.empty()) {
    ++totals_.errors[error];
    pause = std::max(pause, kErrorPause);
  }
  client.pause = loop_.After(pause, [this, &client] { Send(client); });
}

}  // namespace jackdawshunt::testing
