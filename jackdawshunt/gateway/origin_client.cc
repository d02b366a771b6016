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

  uint64_t nonce = 0;
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
  auto lookup =
      Begin(router_.PossibleOriginHomesOf(hash, now), std::move(found));
  lookup->request_hash = hash;
  lookup->expires_at = request.resumable_until;
  Continue(lookup->nonce);
  return lookup;
}

std::shared_ptr<OriginClient::Lookup> OriginClient::Begin(
    std::vector<std::string> homes,
    FoundCallback found) {
  auto lookup = std::make_shared<Lookup>(std::move(homes));
  lookup->started_at = loop_.clock().Now();
  lookup->found = std::move(found);
  lookup->nonce = next_nonce_++;
  lookups_.emplace(lookup->nonce, lookup);
  return lookup;
}

std::shared_ptr<OriginClient::Lookup> OriginClient::FindLookup(
    uint64_t nonce) const {
  const auto found = lookups_.find(nonce);
  return found == lookups_.end() ? nullptr : found->second.lock();
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
  auto lookup = Begin({}, std::move(found));
  const auto finish = [this, nonce = lookup->nonce, &request](bool is_read) {
    if (const auto waiting = FindLookup(nonce)) {
      End(*waiting,
          {.origin = is_read ? router_.SoleOrigin(request, loop_.clock().Now())
                             : routing::kUnknownOrigin,
           .source = OriginSource::kList});
    }
  };
  lookup->timer = loop_.After(kMaxListTime, [finish] { finish(false); });
  read_list_(finish);
  return lookup;
}

void OriginClient::Continue(uint64_t nonce) {
  const auto lookup = FindLookup(nonce);
  if (lookup == nullptr) {
    return;
  }
  for (const std::string& ip : lookup->rounds.StartRound()) {
    boards_.SendTo(ip, board::OriginQuery{.nonce = nonce,
                                          .request = lookup->request_hash});
  }
  if (lookup->rounds.result().has_value()) {
    Finish(*lookup);
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
    Finish(*lookup);
  }
}

void OriginClient::Finish(Lookup& lookup) {
  const uint64_t origin = *lookup.rounds.result();
  if (origin != routing::kUnknownOrigin) {
    origins_.Record(lookup.request_hash, origin, lookup.expires_at);
  }
  End(lookup, {.origin = origin,
               .source = OriginSource::kBoards,
               .rounds = lookup.rounds.rounds()});
}

void OriginClient::End(Lookup& lookup, OriginAnswer answer) {
  lookups_.erase(lookup.nonce);
  lookup.timer.Cancel();
  answer.time = loop_.clock().Now() - lookup.started_at;
  std::exchange(lookup.found, nullptr)(answer);
}

void OriginClient::DropExpired() {
  origins_.DropExpired(loop_.clock().Now());
  std::erase_if(lookups_, [](const auto& row) { return row.second.expired(); });
}

}  // namespace jackdawshunt::gateway
