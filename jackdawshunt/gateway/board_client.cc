#include "jackdawshunt/gateway/board_client.h"

#include <algorithm>
#include <utility>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::gateway {
namespace {

// A board replies within a round trip of a few milliseconds.
constexpr kernel::Duration kQueryTimeout = std::chrono::milliseconds(10);
// A board that did not reply to this many consecutive queries is still queried,
// but not waited for.
constexpr uint32_t kUnansweredThreshold = 3;

std::vector<uint32_t> PartTokens(const routing::RoutedRequest& request) {
  std::vector<uint32_t> tokens;
  if (request.prompt.has_value()) {
    tokens.reserve(request.prompt->parts.size());
    for (const routing::PromptPart& part : request.prompt->parts) {
      tokens.push_back(part.tokens);
    }
  }
  return tokens;
}

}  // namespace

struct BoardClient::PendingQuery {
  uint64_t first_nonce = 0;          // The engines' nonces are consecutive.
  std::vector<std::string> engines;  // Upstream ids, by position.
  std::vector<std::string> ips;
  std::vector<bool> has_replied;
  // Replies to wait for: one for each board below kUnansweredThreshold.
  size_t awaited_replies = 0;
  std::vector<routing::BoardOffer> offers;
  OffersCallback done;
  kernel::Timer timer;
};

BoardClient::BoardClient(kernel::EventLoop& loop,
                         std::string ip,
                         uint16_t board_port)
    : loop_(loop), ip_(std::move(ip)), board_port_(board_port) {}

BoardClient::~BoardClient() = default;

absl::Status BoardClient::Open() {
  auto socket = board::DatagramSocket::Bind(
      loop_, {ip_, board_port_},
      [this](const http::Address& from, std::string_view bytes) {
        OnDatagram(from, bytes);
      });
  if (!socket.ok()) {
    return socket.status();
  }
  socket_ = *std::move(socket);
  return absl::OkStatus();
}

board::EngineIdentity BoardClient::EngineIdentityOf(
    const routing::Upstream& engine,
    const routing::RoutedRequest& request) const {
  board::EngineIdentity identity;
  identity.incarnation = routing::StartOf(engine);
  identity.started_unix_ms = engine.started_unix_ms;
  const routing::Service* service = request.table->FindService(engine.service);
  if (service != nullptr && service->engine.has_value()) {
    identity.cache_tokens = service->engine->cache_tokens;
    identity.slots = service->engine->slots;
    identity.sustained_tokens_per_s =
        static_cast<uint64_t>(request.engine_tokens_per_s);
  }
  return identity;
}

void BoardClient::Send(const routing::Upstream& engine,
                       const board::Message& message) {
  SendTo(engine.address.ip, message);
}

void BoardClient::SendTo(const std::string& ip, const board::Message& message) {
  if (socket_ != nullptr) {
    socket_->Send({ip, board_port_}, board::Encode(message));
  }
}

BoardClient::QueryHandle BoardClient::SendQueries(
    const std::vector<routing::Upstream>& engines,
    const routing::RoutedRequest& request,
    OffersCallback done) {
  auto pending = std::make_shared<PendingQuery>();
  pending->done = std::move(done);
  const uint64_t nonce = next_nonce_;
  pending->first_nonce = nonce;
  next_nonce_ += engines.size();
  board::Query query;
  query.part_keys = request.part_keys;
  query.part_tokens = PartTokens(request);
  for (size_t i = 0; i < engines.size(); ++i) {
    query.nonce = nonce + i;
    query.engine = EngineIdentityOf(engines[i], request);
    pending_queries_.emplace(query.nonce, pending);
    pending->engines.push_back(engines[i].id);
    pending->ips.push_back(engines[i].address.ip);
    pending->has_replied.push_back(false);
    const auto unanswered = consecutive_unanswered_.find(engines[i].address.ip);
    if (unanswered == consecutive_unanswered_.end() ||
        unanswered->second < kUnansweredThreshold) {
      ++pending->awaited_replies;
    }
    Send(engines[i], query);
    ++queries_sent_;
  }
  pending->timer = loop_.After(
      pending->awaited_replies > 0 ? kQueryTimeout : kernel::Duration::zero(),
      [this, nonce] { FinishQuery(nonce); });
  return pending;
}

void BoardClient::FinishQuery(uint64_t nonce) {
  const auto found = pending_queries_.find(nonce);
  if (found == pending_queries_.end()) {
    return;
  }
  const auto pending = found->second.lock();
  if (pending == nullptr) {
    pending_queries_.erase(found);
    return;
  }
  for (size_t i = 0; i < pending->engines.size(); ++i) {
    pending_queries_.erase(nonce + i);
    uint32_t& unanswered = consecutive_unanswered_[pending->ips[i]];
    unanswered = pending->has_replied[i] ? 0 : unanswered + 1;
    queries_unanswered_ += pending->has_replied[i] ? 0 : 1;
  }
  pending->timer.Cancel();
  if (const auto done = std::exchange(pending->done, nullptr)) {
    done(pending->offers);
  }
}

void BoardClient::OnDatagram(const http::Address& from,
                             std::string_view bytes) {
  const auto message = board::Decode(bytes);
  if (!message.ok()) {
    base::Log(base::LogLevel::kDebug, "datagram_unreadable",
              {{"from", from.ToString()},
               {"error", std::string(message.status().message())}});
    return;
  }
  if (const auto* totals = std::get_if<board::ShareTotals>(&*message)) {
    if (on_totals_) {
      on_totals_(from.ip, *totals);
    }
    return;
  }
  if (const auto* origin = std::get_if<board::OriginReply>(&*message)) {
    if (on_origin_) {
      on_origin_(from.ip, *origin);
    }
    return;
  }
  if (const auto* permit = std::get_if<board::PermitReply>(&*message)) {
    if (on_permit_) {
      on_permit_(*permit);
    }
    return;
  }
  if (const auto* facts = std::get_if<board::FactReply>(&*message)) {
    if (on_facts_) {
      on_facts_(from.ip, *facts);
    }
    return;
  }
  const auto* offer = std::get_if<board::Offer>(&*message);
  if (offer == nullptr) {
    return;
  }
  consecutive_unanswered_[from.ip] = 0;
  const auto found = pending_queries_.find(offer->nonce);
  if (found == pending_queries_.end()) {
    return;  // Arrived after the timeout.
  }
  const auto pending = found->second.lock();
  if (pending == nullptr) {
    pending_queries_.erase(found);
    return;
  }
  const size_t index = offer->nonce - pending->first_nonce;
  if (pending->has_replied[index]) {
    return;
  }
  pending->has_replied[index] = true;
  pending->offers.push_back(
      {pending->engines[index], offer->cost, offer->is_reachable});
  if (pending->offers.size() >= pending->awaited_replies) {
    FinishQuery(pending->first_nonce);
  }
}

void BoardClient::SendClaim(const routing::Upstream& engine,
                            const routing::RoutedRequest& request) {
  board::Claim claim;
  claim.request = request.hash;
  claim.engine = EngineIdentityOf(engine, request);
  claim.part_keys = request.part_keys;
  claim.part_tokens = PartTokens(request);
  claim.output_tokens = request.prompt->max_output_tokens;
  Send(engine, claim);
}

void BoardClient::SendProgress(const routing::Upstream& engine,
                               const routing::RoutedRequest& request,
                               board::Progress progress) {
  Send(engine,
       board::ProgressReport{.request = request.hash, .progress = progress});
}

void BoardClient::SendShareUpdate(const routing::Upstream& engine,
                                  const board::ShareUpdate& update) {
  Send(engine, update);
}

void BoardClient::DropAbandonedQueries() {
  std::erase_if(pending_queries_,
                [](const auto& row) { return row.second.expired(); });
}

void BoardClient::SetTotalsCallback(TotalsCallback callback) {
  on_totals_ = std::move(callback);
}

void BoardClient::SetPermitCallback(PermitCallback callback) {
  on_permit_ = std::move(callback);
}

void BoardClient::SetFactCallback(FactCallback callback) {
  on_facts_ = std::move(callback);
}

void BoardClient::SetOriginCallback(OriginCallback callback) {
  on_origin_ = std::move(callback);
}

}  // namespace jackdawshunt::gateway
