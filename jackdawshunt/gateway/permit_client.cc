#include "jackdawshunt/gateway/permit_client.h"

#include <optional>
#include <utility>

namespace jackdawshunt::gateway {
namespace {

constexpr kernel::Duration kReplyTimeout = std::chrono::milliseconds(25);

}  // namespace

struct PermitClient::Query {
  routing::Upstream upstream;
  std::optional<routing::PermitRate> rate;
  Callback done;
  kernel::Timer timer;
};

PermitClient::PermitClient(kernel::EventLoop& loop,
                           routing::Router& router,
                           BoardClient& boards)
    : loop_(loop), router_(router), boards_(boards) {
  boards_.SetPermitCallback(
      [this](const board::PermitReply& reply) { OnReply(reply); });
}

PermitClient::~PermitClient() = default;

PermitClient::Handle PermitClient::Take(const routing::Upstream& upstream,
                                        Callback done) {
  const kernel::TimePoint now = loop_.clock().Now();
  auto query = std::make_shared<Query>();
  query->upstream = upstream;
  query->rate = router_.RateOf(upstream, now);
  query->done = std::move(done);
  const uint64_t nonce = next_nonce_++;
  queries_.emplace(nonce, query);
  const std::string home = router_.PermitHomeOf(upstream, now);
  const bool has_home = !home.empty() && query->rate.has_value();
  if (has_home) {
    boards_.SendTo(home, QueryFor(upstream, *query->rate, nonce));
  }
  query->timer =
      loop_.After(has_home ? kReplyTimeout : kernel::Duration::zero(),
                  [this, nonce] { OnTimeout(nonce); });
  return query;
}

board::PermitQuery PermitClient::QueryFor(const routing::Upstream& upstream,
                                          const routing::PermitRate& rate,
                                          uint64_t nonce) const {
  const uint64_t start = routing::StartOf(upstream);
  board::PermitQuery query{
      .nonce = nonce,
      .start = start,
      .cold_per_second = rate.is_cold ? rate.per_second : 0};
  const routing::Fact* const limit =
      router_.beliefs().facts().Find(routing::FactKind::kStartLimit, start);
  if (limit != nullptr) {
    query.limits.push_back(board::ToAged(*limit, loop_.clock().Now()));
  }
  return query;
}

void PermitClient::OnReply(const board::PermitReply& reply) {
  Finish(reply.nonce, {.is_granted = reply.is_granted, .wait = reply.wait});
}

void PermitClient::OnTimeout(uint64_t nonce) {
  const auto found = queries_.find(nonce);
  const Handle query = found == queries_.end() ? nullptr : found->second.lock();
  if (query == nullptr) {
    return;
  }
  ++without_board_;
  // The limit may have ended meanwhile.
  const routing::Permit permit =
      query->rate.has_value()
          ? fallback_.Take(routing::StartOf(query->upstream), *query->rate,
                           router_.instances(), loop_.clock().Now())
          : routing::Permit{.is_granted = true};
  Finish(nonce, permit);
}

void PermitClient::Finish(uint64_t nonce, const routing::Permit& permit) {
  const auto found = queries_.find(nonce);
  if (found == queries_.end()) {
    return;  // Replied after the timeout.
  }
  const Handle query = found->second.lock();
  queries_.erase(found);
  if (query == nullptr) {
    return;
  }
  query->timer.Cancel();
  if (permit.is_granted) {
    ++granted_;
  } else {
    ++refused_;
    router_.beliefs().OnPermitRefused(query->upstream, permit.wait,
                                      loop_.clock().Now());
  }
  if (const auto done = std::exchange(query->done, nullptr)) {
    done(permit.is_granted);
  }
}

void PermitClient::DropExpired() {
  std::erase_if(queries_, [](const auto& row) { return row.second.expired(); });
  fallback_.DropExpired(loop_.clock().Now());
}

}  // namespace jackdawshunt::gateway
