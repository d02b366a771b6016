#include "jackdawshunt/gateway/origin_client.h"

#include <array>
#include <utility>

namespace jackdawshunt::gateway {
namespace {

constexpr std::array<std::string_view, 3> kSourceNames = {"instance", "boards",
                                                          "list"};
// The list is not waited for longer than the boards are.
constexpr kernel::Duration kMaxListTime =
    routing::OriginLookup::kMaxRounds * routing::OriginLookup::kRoundTime;

}  // namespace

std::string_view OriginSourceName(OriginSource source) {
  return kSourceNames.at(static_cast<size_t>(source));
}

struct OriginClient::Lookup {
  explicit Lookup(std::vector<std::string> homes) : rounds(std::move(homes)) {}

  routing::OriginLookup rounds;
  uint64_t request_hash = 0;  // Of the request that began the stream.
  kernel::TimePoint expires_at{};
  kernel::TimePoint started_at{};
  FoundCallback found;
  kernel::Timer timer;
};

OriginClient::OriginClient(kernel::EventLoop& loop,
                           routing::Router& router,
                           BoardClient& boards)
    : loop_(loop), router_(router), boards_(boards) {
  boards_.SetOriginCallback(
      [this](const std::string& ip, const board::OriginReply& reply) {
        OnReply(ip, reply);
      });
}

OriginClient::~OriginClient() = default;

void OriginClient::Record(const routing::RoutedRequest& request) {
  const kernel::TimePoint now = loop_.clock().Now();
  if (*request.origin == routing::kUnknownOrigin ||
      request.resumable_until <= now) {
    return;
  }
  origins_.Record(request.hash, *request.origin, request.resumable_until);
  const board::OriginRecord record = {
      .request = request.hash,
      .origin = *request.origin,
      .resumable_for = request.resumable_until - now};
  for (const std::string& ip : router_.OriginHomesOf(request.hash, now)) {
    boards_.SendTo(ip, record);
  }
}

OriginClient::LookupHandle OriginClient::Find(
    const routing::RoutedRequest& request,
    FoundCallback found) {
  const kernel::TimePoint now = loop_.clock().Now();
  const std::string& first_request = request.resumption->first_request;
  if (first_request.empty()) {
    return FindSole(request, std::move(found));
  }
  const uint64_t hash = routing::HashOf(first_request);
  const uint64_t known = origins_.Find(hash, now);
  if (known != routing::kUnknownOrigin) {
    found({.origin = known});
    return nullptr;
  }
  uint64_t nonce = 0;
  auto lookup =
      Begin(router_.PossibleOriginHomesOf(hash, now), std::move(found), nonce);
  lookup->request_hash = hash;
  lookup->expires_at = request.resumable_until;
  Continue(nonce);
  return lookup;
}

std::shared_ptr<OriginClient::Lookup> OriginClient::Begin(
    std::vector<std::string> homes,
    FoundCallback found,
    uint64_t& nonce) {
  auto lookup = std::make_shared<Lookup>(std::move(homes));
  lookup->started_at = loop_.clock().Now();
  lookup->found = std::move(found);
  nonce = next_nonce_++;
  lookups_.emplace(nonce, lookup);
  return lookup;
}

OriginClient::LookupHandle OriginClient::FindSole(
    const routing::RoutedRequest& request,
    FoundCallback found) {
  const bool may_be_known =
      read_list_ && router_.SoleOrigin(request, loop_.clock().Now()) !=
                        routing::kUnknownOrigin;
  if (!may_be_known) {
    found({.source = OriginSource::kList});
    return nullptr;
  }
  uint64_t nonce = 0;
  auto lookup = Begin({}, std::move(found), nonce);
  const auto finish = [this, nonce, &request](bool is_read) {
    const auto entry = lookups_.find(nonce);
    const auto waiting =
        entry == lookups_.end() ? nullptr : entry->second.lock();
    if (waiting == nullptr) {
      return;
    }
    const kernel::TimePoint now = loop_.clock().Now();
    lookups_.erase(entry);
    waiting->timer.Cancel();
    std::exchange(waiting->found,
                  nullptr)({.origin = is_read ? router_.SoleOrigin(request, now)
                                              : routing::kUnknownOrigin,
                            .source = OriginSource::kList,
                            .time = now - waiting->started_at});
  };
  lookup->timer = loop_.After(kMaxListTime, [finish] { finish(false); });
  read_list_(finish);
  return lookup;
}

void OriginClient::Continue(uint64_t nonce) {
  const auto found = lookups_.find(nonce);
  const auto lookup = found == lookups_.end() ? nullptr : found->second.lock();
  if (lookup == nullptr) {
    return;
  }
  for (const std::string& ip : lookup->rounds.StartRound()) {
    boards_.SendTo(ip, board::OriginQuery{.nonce = nonce,
                                          .request = lookup->request_hash});
  }
  if (lookup->rounds.result().has_value()) {
    Finish(nonce, *lookup);
    return;
  }
  lookup->timer = loop_.After(routing::OriginLookup::kRoundTime,
                              [this, nonce] { Continue(nonce); });
}

void OriginClient::OnReply(const std::string& ip,
                           const board::OriginReply& reply) {
  const auto found = lookups_.find(reply.nonce);
  if (found == lookups_.end()) {
    return;  // The lookup has ended.
  }
  const auto lookup = found->second.lock();
  if (lookup == nullptr) {
    lookups_.erase(found);
    return;
  }
  if (reply.request != lookup->request_hash) {
    return;  // To an earlier process at this address.
  }
  lookup->rounds.OnReply(ip, reply.origin);
  if (lookup->rounds.result().has_value()) {
    Finish(reply.nonce, *lookup);
  }
}

void OriginClient::Finish(uint64_t nonce, Lookup& lookup) {
  lookups_.erase(nonce);
  lookup.timer.Cancel();
  const OriginAnswer answer = {.origin = *lookup.rounds.result(),
                               .source = OriginSource::kBoards,
                               .rounds = lookup.rounds.rounds(),
                               .time = loop_.clock().Now() - lookup.started_at};
  if (answer.origin != routing::kUnknownOrigin) {
    origins_.Record(lookup.request_hash, answer.origin, lookup.expires_at);
  }
  std::exchange(lookup.found, nullptr)(answer);
}

void OriginClient::DropExpired() {
  origins_.DropExpired(loop_.clock().Now());
  std::erase_if(lookups_, [](const auto& row) { return row.second.expired(); });
}

}  // namespace jackdawshunt::gateway
