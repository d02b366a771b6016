// Queries the boards beside engines, and reports the requests sent to the
// engines.
//
// Example:
//   gateway::BoardClient boards(loop, "10.1.0.33", 7400);
//   absl::Status status = boards.Open();
//   auto handle = boards.SendQueries(engines, request, on_offers);
//   boards.SendClaim(engine, request);
//
// Boards are soft state: replies that arrive after kQueryTimeout are ignored,
// and a board that repeatedly does not reply is still queried but not waited
// for. Not thread-safe.
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

  // Binds `ip` in Open(). Each board listens at its engine's IP and
  // `board_port`, which is also the local port.
  BoardClient(kernel::EventLoop& loop, std::string ip, uint16_t board_port);
  ~BoardClient();

  // Binds the socket.
  // Error: Unavailable when the port cannot be bound.
  absl::Status Open();

  // Queries the boards of `engines`. Calls `done` once, in a later iteration of
  // the loop, with the offers that arrived in time. Destroying the returned
  // handle cancels the query.
  using QueryHandle = std::shared_ptr<void>;
  [[nodiscard]] QueryHandle SendQueries(
      const std::vector<routing::Upstream>& engines,
      const routing::RoutedRequest& request,
      OffersCallback done);

  // Reports that `request`, which must have a prompt, was sent to `engine`.
  void SendClaim(const routing::Upstream& engine,
                 const routing::RoutedRequest& request);
  // Reports the progress of a claimed request.
  void SendProgress(const routing::Upstream& engine,
                    const routing::RoutedRequest& request,
                    board::Progress progress);

  // Sends the workspaces' tokens to the board of `engine`, whose reply goes to
  // the totals callback.
  void SendShareUpdate(const routing::Upstream& engine,
                       const board::ShareUpdate& update);
  // Sets the function that is called with each ShareTotals that arrives.
  void SetTotalsCallback(TotalsCallback callback);

  // Sends `message` to the board at `ip`.
  void SendTo(const std::string& ip, const board::Message& message);
  // Sets the function that is called with each OriginReply that arrives.
  using PermitCallback = std::function<void(const board::PermitReply&)>;
  void SetPermitCallback(PermitCallback callback);

  using FactCallback =
      std::function<void(const std::string& board_ip, const board::FactReply&)>;
  void SetFactCallback(FactCallback callback);

  using OriginCallback = std::function<void(const std::string& board_ip,
                                            const board::OriginReply&)>;
  void SetOriginCallback(OriginCallback callback);

  // Drops the state of queries whose handles were destroyed; call every second.
  void DropAbandonedQueries();

  // Returns the number of queries sent.
  uint64_t queries_sent() const { return queries_sent_; }
  // Returns the number of queries without a reply in time.
  uint64_t queries_unanswered() const { return queries_unanswered_; }

 private:
  struct PendingQuery;

  void OnDatagram(const http::Address& from, std::string_view bytes);
  void Send(const routing::Upstream& engine, const board::Message& message);
  void FinishQuery(uint64_t nonce);
  board::EngineIdentity EngineIdentityOf(
      const routing::Upstream& engine,
      const routing::RoutedRequest& request) const;

  kernel::EventLoop& loop_;
  const std::string ip_;
  const uint16_t board_port_;
  std::unique_ptr<board::DatagramSocket> socket_;
  std::unordered_map<uint64_t, std::weak_ptr<PendingQuery>> pending_queries_;
  // Consecutive queries without a reply in time, by the board's IP.
  std::unordered_map<std::string, uint32_t> consecutive_unanswered_;
  TotalsCallback on_totals_;
  OriginCallback on_origin_;
  FactCallback on_facts_;
  PermitCallback on_permit_;
  uint64_t next_nonce_ = 1;
  uint64_t queries_sent_ = 0;
  uint64_t queries_unanswered_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_BOARD_CLIENT_H_
