#include "jackdawshunt/gateway/board_client.h"

#include <algorithm>
#include <utility>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::gateway {
namespace {

// A board answers within a round trip of a few milliseconds.
constexpr kernel::Duration kAskTimeout = std::chrono::milliseconds(10);
// A board that left so many questions in a row unanswered is still asked, but
// not waited for.
constexpr uint32_t kSilentQuestions = 3;

std::vector<uint32_t> TokensOf(const routing::RoutedRequest& request) {
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

struct BoardClient::Question {
  uint64_t first_nonce = 0;          // Its engines have consecutive nonces.
  std::vector<std::string> engines;  // Upstream ids, by position.
  std::vector<std::string> ips;
  std::vector<bool> has_answered;
  size_t awaited = 0;  // Boards that are waited for.
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

board::EngineIdentity BoardClient::IdentityOf(
    const routing::Upstream& engine,
    const routing::RoutedRequest& request) const {
  board::EngineIdentity identity;
  identity.incarnation =
      routing::RendezvousWeight(routing::HashOf(engine.id),
                                static_cast<uint64_t>(engine.started_unix_ms));
  const routing::Service* service = request.table->FindService(engine.service);
  if (service != nullptr && service->engine.has_value()) {
    identity.cache_tokens = service->engine->cache_tokens;
    identity.sustained_tokens_per_s =
        static_cast<uint64_t>(request.engine_tokens_per_s);
  }
  return identity;
}

void BoardClient::Send(const routing::Upstream& engine,
                       const board::Message& message) {
  if (socket_ != nullptr) {
    socket_->Send({engine.address.ip, board_port_}, board::Encode(message));
  }
}

BoardClient::Ticket BoardClient::Ask(
    const std::vector<routing::Upstream>& engines,
    const routing::RoutedRequest& request,
    OffersCallback done) {
  auto question = std::make_shared<Question>();
  question->done = std::move(done);
  const uint64_t nonce = next_nonce_;
  question->first_nonce = nonce;
  next_nonce_ += engines.size();
  board::Query query;
  query.part_keys = request.part_keys;
  query.part_tokens = TokensOf(request);
  for (size_t i = 0; i < engines.size(); ++i) {
    query.nonce = nonce + i;
    query.engine = IdentityOf(engines[i], request);
    questions_.emplace(query.nonce, question);
    question->engines.push_back(engines[i].id);
    question->ips.push_back(engines[i].address.ip);
    question->has_answered.push_back(false);
    const auto silent = silent_.find(engines[i].address.ip);
    if (silent == silent_.end() || silent->second < kSilentQuestions) {
      ++question->awaited;
    }
    Send(engines[i], query);
    ++asked_;
  }
  question->timer = loop_.After(
      question->awaited > 0 ? kAskTimeout : kernel::Duration::zero(),
      [this, nonce] { Finish(nonce); });
  return question;
}

void BoardClient::Finish(uint64_t nonce) {
  const auto found = questions_.find(nonce);
  if (found == questions_.end()) {
    return;
  }
  const auto question = found->second.lock();
  if (question == nullptr) {
    questions_.erase(found);
    return;
  }
  for (size_t i = 0; i < question->engines.size(); ++i) {
    questions_.erase(nonce + i);
    uint32_t& silent = silent_[question->ips[i]];
    silent = question->has_answered[i] ? 0 : silent + 1;
    unanswered_ += question->has_answered[i] ? 0 : 1;
  }
  question->timer.Cancel();
  if (const auto done = std::exchange(question->done, nullptr)) {
    done(question->offers);
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
  const auto* offer = std::get_if<board::Offer>(&*message);
  if (offer == nullptr) {
    return;
  }
  silent_[from.ip] = 0;
  const auto found = questions_.find(offer->nonce);
  if (found == questions_.end()) {
    return;  // Came too late.
  }
  const auto question = found->second.lock();
  if (question == nullptr) {
    questions_.erase(found);
    return;
  }
  const size_t index = offer->nonce - question->first_nonce;
  if (question->has_answered[index]) {
    return;
  }
  question->has_answered[index] = true;
  question->offers.push_back(
      {question->engines[index], offer->cost, offer->is_reachable});
  if (question->offers.size() >= question->awaited) {
    Finish(question->first_nonce);
  }
}

void BoardClient::Claim(const routing::Upstream& engine,
                        const routing::RoutedRequest& request) {
  board::Claim claim;
  claim.request = request.hash;
  claim.engine = IdentityOf(engine, request);
  claim.part_keys = request.part_keys;
  claim.part_tokens = TokensOf(request);
  claim.output_tokens = request.prompt->max_output_tokens;
  Send(engine, claim);
}

void BoardClient::Report(const routing::Upstream& engine,
                         const routing::RoutedRequest& request,
                         board::Progress progress) {
  Send(engine,
       board::ProgressReport{.request = request.hash, .progress = progress});
}

void BoardClient::UpdateShares(const routing::Upstream& engine,
                               const board::ShareUpdate& update) {
  Send(engine, update);
}

void BoardClient::Sweep() {
  std::erase_if(questions_,
                [](const auto& row) { return row.second.expired(); });
}

void BoardClient::OnTotals(TotalsCallback callback) {
  on_totals_ = std::move(callback);
}

}  // namespace jackdawshunt::gateway
