// Asks the boards beside engines, and tells them what is sent there.
//
// Example:
//   gateway::BoardClient boards(loop, settings);
//   boards.Ask(engines, prompt_keys, parts, [](auto offers) { ... });
//   boards.Claim(upstream, request);
//
// Boards are soft state: an answer that does not come within kAskTimeout is
// done without, and a board that keeps silent is not waited for. Not
// thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_BOARD_CLIENT_H_
#define JACKDAWSHUNT_GATEWAY_BOARD_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "jackdawshunt/board/datagram_socket.h"
#include "jackdawshunt/board/messages.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

class BoardClient {
 public:
  using OffersCallback =
      std::function<void(const std::vector<routing::BoardOffer>&)>;
  using TotalsCallback = std::function<void(const std::string& board_ip,
                                            const board::ShareTotals&)>;

  // Boards listen at the upstream's IP and this port.
  BoardClient(kernel::EventLoop& loop, std::string ip, uint16_t board_port);
  ~BoardClient();

  // Error: Unavailable when no port can be bound.
  absl::Status Open();

  // Calls back once, in a later turn, with the offers that came in time. The
  // returned ticket ends the question when it is dropped.
  using Ticket = std::shared_ptr<void>;
  [[nodiscard]] Ticket Ask(const std::vector<routing::Upstream>& engines,
                           const routing::RoutedRequest& request,
                           OffersCallback done);

  void Claim(const routing::Upstream& engine,
             const routing::RoutedRequest& request);
  void Report(const routing::Upstream& engine,
              const routing::RoutedRequest& request,
              board::Progress progress);

  // Reports the workspaces' tokens to a board; its totals come back.
  void UpdateShares(const routing::Upstream& engine,
                    const board::ShareUpdate& update);
  void OnTotals(TotalsCallback callback);

  // Forgets questions whose tickets were dropped; call every second.
  void Sweep();

  uint64_t asked() const { return asked_; }
  uint64_t unanswered() const { return unanswered_; }

 private:
  struct Question;

  void OnDatagram(const http::Address& from, std::string_view bytes);
  void Send(const routing::Upstream& engine, const board::Message& message);
  void Finish(uint64_t nonce);
  board::EngineIdentity IdentityOf(const routing::Upstream& engine,
                                   const routing::RoutedRequest& request) const;

  kernel::EventLoop& loop_;
  const std::string ip_;
  const uint16_t board_port_;
  std::unique_ptr<board::DatagramSocket> socket_;
  std::unordered_map<uint64_t, std::weak_ptr<Question>> questions_;
  // Questions in a row that the board at an IP did not answer.
  std::unordered_map<std::string, uint32_t> silent_;
  TotalsCallback on_totals_;
  uint64_t next_nonce_ = 1;
  uint64_t asked_ = 0;
  uint64_t unanswered_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_BOARD_CLIENT_H_
