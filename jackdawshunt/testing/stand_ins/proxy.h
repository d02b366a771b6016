// TCP forwarder that injects network faults between two processes.
//
//   GET  /admin/faults  the faults in force and the number of connections
//   POST /admin/faults  {"blackhole_to_target","blackhole_to_client","refuse",
//                       "delay_ms","only_existing","cut"}
//
// A direction in a black hole carries no data but stays open. Its data is held
// back, not lost: as TCP would, it goes on when the fault ends. "only_existing"
// limits the black holes of this call to the connections that exist now.
// "refuse" closes new connections at once; "cut" closes the existing ones once.
#ifndef JACKDAWSHUNT_TESTING_STAND_INS_PROXY_H_
#define JACKDAWSHUNT_TESTING_STAND_INS_PROXY_H_

#include <cstdint>
#include <list>
#include <memory>

#include "jackdawshunt/testing/stand_ins/stand_in.h"

struct evconnlistener;

namespace jackdawshunt::testing {

class Proxy {
 public:
  Proxy(kernel::EventLoop& loop, http::Address target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Binds both ports and announces them. Error: Unavailable.
  absl::Status Listen(const ListenOptions& options);

 private:
  class Connection;
  struct Faults {
    bool blackhole_to_target = false;
    bool blackhole_to_client = false;
    bool refuse = false;
    int64_t delay_ms = 0;
  };

  void Accept(intptr_t socket);
  void HandleAdmin(const ExchangePtr& exchange);
  void SetFaults(const nlohmann::json& body);
  void Remove(Connection* connection);

  kernel::EventLoop& loop_;
  http::Address target_;
  http::Server admin_server_;
  evconnlistener* listener_ = nullptr;
  Faults faults_;  // For new connections.
  std::list<std::unique_ptr<Connection>> connections_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_STAND_INS_PROXY_H_
