// Identifies what an upstream gets of a request, so that two requests can be
// told to be the same.
//
// Example:
//   uint64_t content = routing::ContentHash({.method = "GET",
//                                            .host = "jobs.example",
//                                            .target = "/status/7",
//                                            .workspace = "lodge"});
#ifndef JACKDAWSHUNT_ROUTING_REQUEST_CONTENT_H_
#define JACKDAWSHUNT_ROUTING_REQUEST_CONTENT_H_

#include <cstdint>
#include <string_view>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {

// Header fields are left out, since callers and proxies vary them with each
// request; only those that describe the prompt count.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // With the query.
  std::string_view workspace;
  std::string_view body;
  const Prompt* prompt = nullptr;
};

// Returns a hash that is the same in all instances.
uint64_t ContentHash(const RequestContent& content);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_REQUEST_CONTENT_H_
