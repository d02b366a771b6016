// Callers of a site run: groups of closed-loop clients, one group a workspace
// and kind of work. A client sends its next request when the last has ended and
// its pause is over.
//
// Example:
//   Clients clients(loop, fleet, groups, /*seed=*/1);
//   clients.Start();
//   ... clients.Samples() ...
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_TESTING_SITE_CLIENTS_H_
#define JACKDAWSHUNT_TESTING_SITE_CLIENTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "jackdawshunt/http/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/testing/chat_call.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/site/gap.h"

namespace jackdawshunt::testing {

struct ClientGroup {
  std::string workspace;
  std::string model;
  int64_t concurrency = 1;
  std::vector<size_t> entries;  // Used in turn.
  int64_t median_tokens = 100;  // Log-normal length of the answers.
  double spread = 0.5;          // Sigma of the logarithm.
  int64_t max_tokens = 512;     // Hint sent with each request.
  int64_t pause_ms = 0;
  bool is_lookup = false;  // Its waiting times are reported apart.
};

struct ClientTotals {
  int64_t requests = 0;
  int64_t tokens = 0;
  std::map<std::string, int64_t> errors;
  std::vector<double> lookup_first_token_ms;
};

class Clients {
 public:
  Clients(kernel::EventLoop& loop,
          const Fleet& fleet,
          std::vector<ClientGroup> groups,
          uint32_t seed);
  ~Clients();

  void Start();
  // Service by workspace; backlogged: a request waits for its first token.
  const std::map<std::string, WorkspaceSample>& Samples();
  // As of the last call of Samples().
  const std::map<std::string, WorkspaceSample>& LastSamples() const {
    return samples_;
  }
  const ClientTotals& totals() const { return totals_; }

 private:
  struct Client;

  void Send(Client& client);
  void OnTokens(Client& client, int64_t count);
  void OnEnd(Client& client, const std::string& error);
  http::Request NextRequest(const ClientGroup& group);

  kernel::EventLoop& loop_;
  const Fleet& fleet_;
  http::Client http_client_;
  const std::vector<ClientGroup> groups_;
  std::mt19937 random_;
  int64_t sequence_ = 0;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<std::string, WorkspaceSample> samples_;
  std::map<std::string, int64_t> waiting_;
  ClientTotals totals_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_SITE_CLIENTS_H_
