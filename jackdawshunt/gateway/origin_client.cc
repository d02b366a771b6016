#include "jackdawshunt/gateway/origin_client.h"

#include <utility>

namespace jackdawshunt::gateway {

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
    const bool is_current = is_list_current_ && is_list_current_();
    found({.origin = is_current ? router_.SoleOrigin(request, now)
                                : routing::kUnknownOrigin});
    return nullptr;
  }
  const uint64_t hash = routing::HashOf(first_request);
  const uint64_t known = origins_.Find(hash, now);
  if (known != routing::kUnknownOrigin) {
    found({.origin = known});
    return nullptr;
  }
  auto lookup =
      std::make_shared<Lookup>(router_.PossibleOriginHomesOf(hash, now));
  lookup->request_hash = hash;
  lookup->expires_at = request.resumable_until;
  lookup->started_at = now;
  lookup->found = std::move(found);
  const uint64_t nonce = next_nonce_++;
  lookups_.emplace(nonce, lookup);
  Continue(nonce);
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
