// Many callers that send the same kind of bytes at once, over raw sockets, and
// need not follow HTTP.
//
// Example:
//   testing::ClientCrowd crowd({.clients = 160,
//                               .address = fleet.gateway_address(0),
//                               .head = [](size_t) { return "GET / HTT"; }});
//   fleet.RunFor(std::chrono::seconds(3));
//   crowd.Leave();
//
// The crowd runs on a thread of its own.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_CLIENT_CROWD_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_CLIENT_CROWD_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::testing {

// What each client sends: the head, the piece several times, the tail; then
// nothing, or the byte `drip` every half second. It keeps its connection open.
struct CrowdOptions {
  size_t clients = 0;
  http::Address address;
  // Returns the first bytes of a client, by its index.
  std::function<std::string(size_t client)> head;
  std::string piece;
  size_t pieces = 0;
  std::string tail;
  std::string drip;
  // Whether the clients read what they are sent. Others have small receive
  // buffers.
  bool reads_answers = true;
};

class ClientCrowd {
 public:
  // Connects all clients and starts to send.
  explicit ClientCrowd(CrowdOptions options);
  // Leaves.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Closes all connections; call once.
  void Leave();
  // Returns the number of clients that were answered first with each status.
  std::map<int, size_t> answers() const;

 private:
  struct Client;

  void Run();

  const CrowdOptions options_;
  std::atomic<bool> is_leaving_ = false;
  mutable std::mutex mutex_;
  std::map<int, size_t> answers_;  // Guarded by mutex_.
  std::thread thread_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_CLIENT_CROWD_H_
