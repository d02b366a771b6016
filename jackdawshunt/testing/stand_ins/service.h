// Stand-in for a plain service: counts how often each call ran and answers any
// method and path with {"count","method","path","body"}.
//
//   GET  /admin/calls   {"total","by_request_id":{},"by_body":{}}
//   POST /admin/faults  {"close_before_answer": n, "delay_ms": n}: the next n
//                       calls run, but their connection closes unanswered
#ifndef JACKDAWSHUNT_TESTING_STAND_INS_SERVICE_H_
#define JACKDAWSHUNT_TESTING_STAND_INS_SERVICE_H_

#include <cstdint>
#include <map>
#include <string>

#include "jackdawshunt/testing/stand_ins/stand_in.h"

namespace jackdawshunt::testing {

class ServiceStandIn final : public HttpStandIn {
 public:
  ServiceStandIn(kernel::EventLoop& loop, int64_t delay_ms);

 protected:
  void Handle(const ExchangePtr& exchange) override;
  void HandleAdmin(const ExchangePtr& exchange) override;

 private:
  void SetFaults(const ExchangePtr& exchange);

  int64_t delay_ms_;
  int64_t close_before_answer_ = 0;
  uint64_t total_ = 0;
  std::map<std::string, uint64_t> by_request_id_;
  std::map<std::string, uint64_t> by_body_;
  DelayedCalls delayed_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_STAND_INS_SERVICE_H_
