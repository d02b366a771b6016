// HTTP server for callers: accepts their connections and starts a call for each
// request.
//
// Example:
//   gateway::HttpFrontend frontend(context, freshness, budget, limits);
//   absl::Status status = frontend.Listen({"10.1.0.33", 8783});
//   frontend.StartDraining();
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_HTTP_FRONTEND_H_
#define JACKDAWSHUNT_GATEWAY_HTTP_FRONTEND_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "jackdawshunt/gateway/call.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"
#include "jackdawshunt/kernel/boot_clock.h"
#include "jackdawshunt/platform/wire.h"
#include "jackdawshunt/routing/key_freshness.h"

namespace jackdawshunt::gateway {

struct FrontendLimits {
  // Connections of callers.
  size_t connections = 0;
  // Connections beyond these, only to refuse one request each as not run: a
  // reset would tell the caller nothing.
  size_t refused_connections = 0;
  // Connections of callers and to upstreams together. Requests beyond are
  // refused.
  size_t descriptors = 0;
};

class HttpFrontend {
 public:
  // `context` and `freshness` must outlive the frontend. A connection beyond
  // the limits takes the place of one that yields, and so does a request that
  // finds all descriptors in use. Where none yields, the request is refused;
  // far beyond the limits a connection is closed when accepted. All take their
  // memory from `budget`, which must outlive the loop.
  HttpFrontend(CallContext& context,
               const routing::KeyFreshness& freshness,
               http1::ClientBudget& budget,
               const FrontendLimits& limits);
  ~HttpFrontend();

  // Starts to accept connections at `address`.
  // Error: Unavailable when the address cannot be bound.
  absl::Status Listen(const http::Address& address);
  // Returns the bound port; 0 while not listening.
  uint16_t port() const;

  // Makes all later answers close their connections.
  void StartDraining();
  // Closes the listener and all idle connections, and refuses all later
  // requests.
  void StopAccepting();
  // Ends all calls that still run: with an error that tells whether they may
  // have been executed, or so that an answer that has begun does not look
  // complete.
  void EndRequests();
  // Cancels calls whose prompts hold quarantined parts; call after each change
  // of the quarantine.
  void OnQuarantineChanged();
  // Returns the number of open caller connections.
  size_t open_connections() const { return sessions_.size(); }
  // Returns the number of calls without a final answer.
  size_t busy_calls() const;
  // Returns whether a request is being served or has arrived, even if it has
  // not been read.
  bool has_open_requests() const;

 private:
  class Session;

  void Accept(int fd);
  // Returns whether there are as many connections as may be open.
  bool is_at_limit() const {
    return sessions_.size() >= limits_.connections ||
           open_descriptors() >= limits_.descriptors;
  }
  size_t open_descriptors() const;
  // Returns the limits of the current configuration.
  http1::ServerConnectionLimits CurrentLimits() const;
  // Closes the connection that yields, if any; call at the limit.
  void CloseYielding();
  void Remove(Session* session);
  std::vector<Session*> OpenSessions() const;
  // Refuses a request whose body has not arrived if its head is enough to know
  // that it cannot be served.
  void OnHead(Session& session, const http1::RequestHead& head);
  // Returns the request if it is allowed; otherwise replies with an error.
  // `decoded` receives the fields of the head.
  std::optional<routing::RoutedRequest> Admit(Session& session,
                                              const http1::RequestHead& head,
                                              platform::CallerRequest* decoded);
  // Starts a call for the request, or replies with an error when the request is
  // not allowed.
  void OnRequest(Session& session,
                 const http1::RequestHead& head,
                 std::string& body);
  // Replies with an error; `closes` closes the connection afterwards.
  void ReplyError(http1::ServerConnection& connection,
                  std::string_view request_id,
                  base::ErrorKind kind,
                  std::string_view message,
                  bool closes = false);
  // Logs, once a second, how many connections were beyond the limits.
  void LogConnectionLimit();

  CallContext& context_;
  const routing::KeyFreshness& freshness_;
  http1::ClientBudget& budget_;
  const FrontendLimits limits_;
  kernel::BootClock boot_clock_;
  std::unique_ptr<http1::Listener> listener_;
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
  bool is_refusing_ = false;
  // Since they were last logged.
  uint64_t connections_over_limit_ = 0;
  uint64_t connections_yielded_ = 0;
  kernel::TimePoint limit_logged_at_{};
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_HTTP_FRONTEND_H_
