// Accepts callers' connections and starts a call for each request.
//
// Example:
//   gateway::Front front(context, freshness);
//   absl::Status status = front.Listen({"10.1.0.33", 8783});
//   front.StartDraining();
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_FRONT_H_
#define JACKDAWSHUNT_GATEWAY_FRONT_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/status/status.h"
#include "jackdawshunt/gateway/call.h"
#include "jackdawshunt/http1/server.h"
#include "jackdawshunt/kernel/boot_clock.h"
#include "jackdawshunt/platform/wire.h"
#include "jackdawshunt/routing/key_freshness.h"

namespace jackdawshunt::gateway {

class Front {
 public:
  Front(CallContext& context,
        const routing::KeyFreshness& freshness,
        size_t max_connections);
  ~Front();

  // Error: Unavailable when the address cannot be bound.
  absl::Status Listen(const http::Address& address);
  uint16_t port() const;

  // From now on answers close their connections.
  void StartDraining();
  // From now on requests are refused; idle connections are closed and no new
  // ones accepted.
  void StopAccepting();
  size_t open_connections() const { return sessions_.size(); }
  size_t busy_calls() const;
  // Whether a request is being served or has arrived, read or not.
  bool has_open_requests() const;

 private:
  class Session;

  void Accept(int fd);
  void Remove(Session* session);
  // Decides what a request may do; answers it when it may do nothing.
  void OnRequest(Session& session,
                 const http1::RequestHead& head,
                 std::string& body);
  void ReplyError(http1::ServerConnection& connection,
                  std::string_view request_id,
                  base::ErrorKind kind,
                  std::string_view message);

  CallContext& context_;
  const routing::KeyFreshness& freshness_;
  const size_t max_connections_;
  kernel::BootClock boot_clock_;
  std::unique_ptr<http1::Listener> listener_;
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
  bool refuses_all_ = false;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_FRONT_H_
