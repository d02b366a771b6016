#include "jackdawshunt/testing/stand_ins/platform.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kAdminInstances = "/admin/instances/";
constexpr size_t kMaxValueBytes = size_t{1024} * 1024;

std::string_view CallKind(const http::Request& request) {
  if (request.path == "/watch") {
    return "watch";
  }
  if (request.path == "/instances") {
    return "instances";
  }
  if (request.path == "/objects") {
    return "list";
  }
  return request.method == "GET"   ? "get"
         : request.method == "PUT" ? "put"
                                   : "delete";
}

uint64_t Number(const std::string& text) {
  uint64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

}  // namespace

PlatformStandIn::PlatformStandIn(kernel::EventLoop& loop,
                                 PlatformOptions options)
    : HttpStandIn(loop, {.max_body_bytes = kMaxValueBytes}),
      options_(options),
      delayed_(loop) {}

void PlatformStandIn::Count(const http::Request& request,
                            std::string_view kind) {
  std::string_view caller = http::FindHeader(request.headers, "X-Caller");
  if (caller.empty()) {
    caller = http::FindHeader(request.headers, "User-Agent");
  }
  const std::string name = caller.empty() ? "unknown" : std::string(caller);
  ++calls_by_kind_[std::string(kind)];
  ++calls_by_caller_[name][std::string(kind)];
  bytes_in_ += request.body.size();
}

void PlatformStandIn::Handle(const ExchangePtr& exchange) {
  Count(exchange->request(), CallKind(exchange->request()));
  delayed_.Run(faults_.delay_ms, [this, exchange] { Dispatch(exchange); });
}

void PlatformStandIn::Dispatch(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (faults_.outage || faults_.refuse) {
    ReplyJson(*exchange, 503, {{"error", "outage"}});
  } else if (request.path == "/watch") {
    Watch(exchange);
  } else if (request.path == "/instances") {
    Instances(exchange);
  } else if (request.path == "/objects") {
    List(exchange);
  } else if (request.path.starts_with(kObjects)) {
    const std::string key =
        DecodePercent(std::string_view(request.path).substr(kObjects.size()));
    if (request.method == "GET") {
      Read(exchange, key);
    } else {
      Write(exchange, key);
    }
  } else {
    ReplyJson(*exchange, 404, {{"error", "no such path"}});
  }
}

void PlatformStandIn::Read(const ExchangePtr& exchange,
                           const std::string& key) {
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.deleted) {
    ReplyJson(*exchange, 404, {{"error", "no such object"}});
    return;
  }
  ReplyJson(*exchange, 200,
            {{"key", key},
             {"version", found->second.version},
             {"value", found->second.value}});
}

bool PlatformStandIn::HoldsPrecondition(http::Exchange& exchange,
                                        const std::string& key) {
  const std::string expected(
      http::FindHeader(exchange.request().headers, "If-Match"));
  const auto found = objects_.find(key);
  const bool exists = found != objects_.end() && !found->second.deleted;
  const uint64_t version = exists ? found->second.version : 0;
  if (expected.empty() || Number(expected) == version) {
    return true;
  }
  ReplyJson(exchange, 409,
            {{"version", version},
             {"value", exists ? found->second.value : std::string()}});
  return false;
}

void PlatformStandIn::Write(const ExchangePtr& exchange,
                            const std::string& key) {
  const http::Request& request = exchange->request();
  if (!HoldsPrecondition(*exchange, key)) {
    return;
  }
  const bool is_delete = request.method == "DELETE";
  if (is_delete && !objects_.contains(key)) {
    ReplyJson(*exchange, 404, {{"error", "no such object"}});
    return;
  }
  objects_[key] = {.version = ++revision_,
                   .deleted = is_delete,
                   .value = is_delete ? std::string() : request.body};
  const uint64_t version = revision_;
  WakeWatchers(key);
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    exchange->Abort();
    return;
  }
  ReplyJson(*exchange, 200, {{"version", version}});
}

void PlatformStandIn::List(const ExchangePtr& exchange) {
  const std::string prefix = ParseQuery(exchange->request().query)["prefix"];
  json rows = json::array();
  for (const auto& [key, object] : objects_) {
    if (key.starts_with(prefix) && !object.deleted) {
      rows.push_back(
          {{"key", key}, {"version", object.version}, {"value", object.value}});
    }
  }
  ReplyJson(*exchange, 200, {{"revision", revision_}, {"objects", rows}});
}

json PlatformStandIn::Changes(std::string_view prefix, uint64_t from) const {
  std::vector<const std::pair<const std::string, Object>*> changed;
  for (const auto& entry : objects_) {
    if (entry.first.starts_with(prefix) && entry.second.version > from) {
      changed.push_back(&entry);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const auto* a, const auto* b) {
    return a->second.version < b->second.version;
  });
  json rows = json::array();
  for (const auto* entry : changed) {
    rows.push_back({{"key", entry->first},
                    {"version", entry->second.version},
                    {"deleted", entry->second.deleted},
                    {"value", entry->second.value}});
  }
  return {{"revision", revision_}, {"changes", rows}};
}

void PlatformStandIn::Watch(const ExchangePtr& exchange) {
  auto query = ParseQuery(exchange->request().query);
  const std::string prefix = query["prefix"];
  const uint64_t from = Number(query["from"]);
  const json changes = Changes(prefix, from);
  if (!changes["changes"].empty()) {
    ReplyJson(*exchange, 200, changes);
    return;
  }
  const auto watcher =
      watchers_.insert(watchers_.end(), {exchange, prefix, from, {}});
  const auto wait = std::chrono::milliseconds(Number(query["wait_ms"]));
  watcher->limit = loop().After(wait, [this, watcher] {
    ReplyJson(*watcher->exchange, 200, Changes(watcher->prefix, watcher->from));
    watchers_.erase(watcher);
  });
  exchange->OnClosed([this, raw = exchange.get()] {
    watchers_.remove_if([raw](const Watcher& candidate) {
      return candidate.exchange.get() == raw;
    });
  });
}

void PlatformStandIn::WakeWatchers(std::string_view key) {
  std::list<Watcher> woken;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    const auto next = std::next(it);
    if (key.starts_with(it->prefix)) {
      woken.splice(woken.end(), watchers_, it);
    }
    it = next;
  }
  for (const Watcher& watcher : woken) {
    ReplyJson(*watcher.exchange, 200, Changes(watcher.prefix, watcher.from));
  }
}

void PlatformStandIn::FailWatchers() {
  const std::list<Watcher> failed = std::move(watchers_);
  watchers_.clear();
  for (const Watcher& watcher : failed) {
    ReplyJson(*watcher.exchange, 503, {{"error", "outage"}});
  }
}

void PlatformStandIn::Instances(const ExchangePtr& exchange) {
  json rows = json::array();
  for (const auto& [name, row] : instances_) {
    rows.push_back(json::parse(row));
  }
  ReplyJson(*exchange, 200, {{"instances", rows}});
}

void PlatformStandIn::ChangeInstance(const std::string& name,
                                     std::optional<std::string> row) {
  delayed_.Run(options_.list_lag_ms, [this, name, row = std::move(row)] {
    if (row.has_value()) {
      instances_[name] = *row;
    } else {
      instances_.erase(name);
    }
  });
}

void PlatformStandIn::SetFaults(const ExchangePtr& exchange) {
  const json body = ParseBody(*exchange);
  if (body.is_null()) {
    return;
  }
  faults_.outage = body.value("outage", faults_.outage);
  faults_.refuse = body.value("refuse", faults_.refuse);
  faults_.delay_ms = body.value("delay_ms", faults_.delay_ms);
  faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
  if (faults_.outage || faults_.refuse) {
    FailWatchers();
  }
  SetRefusing(faults_.refuse);
  ReplyJson(*exchange, 200,
            {{"outage", faults_.outage},
             {"refuse", faults_.refuse},
             {"delay_ms", faults_.delay_ms},
             {"lose_answers", faults_.lose_answers}});
}

void PlatformStandIn::HandleAdmin(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (request.path == "/admin/calls") {
    ReplyJson(*exchange, 200,
              {{"by_kind", calls_by_kind_},
               {"by_caller", calls_by_caller_},
               {"bytes_in", bytes_in_},
               {"pending_watches", watchers_.size()}});
  } else if (request.path == "/admin/faults") {
    SetFaults(exchange);
  } else if (request.path.starts_with(kAdminInstances)) {
    const std::string name = request.path.substr(kAdminInstances.size());
    if (request.method == "DELETE") {
      ChangeInstance(name, std::nullopt);
    } else if (ParseBody(*exchange).is_null()) {
      return;
    } else {
      ChangeInstance(name, request.body);
    }
    ReplyJson(*exchange, 200, json::object());
  } else {
    ReplyJson(*exchange, 404, {{"error", "no such path"}});
  }
}

}  // namespace jackdawshunt::testing
