#include "jackdawshunt/testing/platform/stand_in_store.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "jackdawshunt/testing/stand_ins/stand_in.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

constexpr char kPrefix[] = "/jackdawshunt/objects/";
constexpr size_t kPageItems = 50;
constexpr size_t kCopiesKept = 64;

}  // namespace

StandInStore::StandInStore(kernel::EventLoop& loop,
                           const http::Address& address)
    : loop_(loop), connections_(loop, *this) {
  listener_ = *http1::Listener::Bind(loop, address,
                                     [this](int fd) { connections_.Add(fd); });
}

StandInStore::~StandInStore() = default;

http::Address StandInStore::address() const {
  return {"127.0.0.1", listener_->port()};
}

void StandInStore::Put(const std::string& kind,
                       const std::string& name,
                       const json& specification) {
  json& object = objects_[kind][name];
  if (!object.is_null() && object["specification"] == specification) {
    return;
  }
  object = {{"metadata",
             {{"name", name},
              {"revision", revision_ + 1},
              {"created", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"specification", specification},
            {"status", nullptr}};
  Record(kind, {{"removed", false}, {"object", object}});
}

void StandInStore::Delete(const std::string& kind, const std::string& name) {
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) {
    return;
  }
  json object = std::move(found->second);
  objects_[kind].erase(found);
  Record(kind, {{"removed", true}, {"object", std::move(object)}});
}

void StandInStore::Record(const std::string& kind, json event) {
  ++revision_;
  history_.push_back({revision_, kind, std::move(event)});
  copies_.push_back({loop_.clock().Now(), revision_, objects_});
  if (copies_.size() > kCopiesKept) {
    copies_.pop_front();
  }
  AnswerWatches();
}

void StandInStore::DropHistory() {
  oldest_ = revision_ + 1;
  history_.clear();
  CutConnections();
}

void StandInStore::RestoreCopy(kernel::Duration age) {
  const kernel::TimePoint made_at = loop_.clock().Now() - age;
  while (copies_.size() > 1 && copies_.back().made_at > made_at) {
    copies_.pop_back();
  }
  ++era_;
  if (!copies_.empty()) {
    revision_ = copies_.back().revision;
    objects_ = copies_.back().objects;
  }
  while (!history_.empty() && history_.back().revision > revision_) {
    history_.pop_back();
  }
  CutConnections();
}

void StandInStore::CutConnections() {
  std::vector<http1::ServerConnection*> waiting;
  for (const auto& [connection, watch] : watches_) {
    waiting.push_back(connection);
  }
  for (http1::ServerConnection* const connection : waiting) {
    connection->Abort();
  }
}

void StandInStore::SetFault(StoreFault fault) {
  fault_ = fault;
  if (fault == StoreFault::kReset) {
    connections_.AbortAll();
  }
}

json StandInStore::EventsSince(const std::string& kind,
                               uint64_t revision) const {
  json events = json::array();
  for (const Event& event : history_) {
    if (event.kind == kind && event.revision > revision) {
      events.push_back(event.body);
    }
  }
  return events;
}

void StandInStore::AnswerWatches() {
  if (fault_ != StoreFault::kNone && fault_ != StoreFault::kSilent) {
    return;
  }
  std::vector<http1::ServerConnection*> ready;
  for (const auto& [connection, watch] : watches_) {
    if (!EventsSince(watch.kind, watch.revision).empty()) {
      ready.push_back(connection);
    }
  }
  for (http1::ServerConnection* const connection : ready) {
    const Watch watch = std::move(watches_.at(connection));
    watches_.erase(connection);
    if (fault_ == StoreFault::kSilent) {
      continue;  // This answer is lost, and with it all later ones.
    }
    Answer(*connection, 200,
           {{"events", EventsSince(watch.kind, watch.revision)},
            {"storeRevision", revision_}});
  }
}

void StandInStore::OnRequest(http1::ServerConnection& connection,
                             const http1::RequestHead& head,
                             std::string& /*body*/) {
  ++calls_;
  switch (fault_) {
    case StoreFault::kNone:
      break;
    case StoreFault::kBusy:
      Answer(connection, 503, json::object());
      return;
    case StoreFault::kMany:
      Answer(connection, 429, json::object());
      return;
    case StoreFault::kReset:
      connection.Abort();
      return;
    case StoreFault::kSilent:
      return;
  }
  const std::vector<std::string> target =
      absl::StrSplit(head.target, absl::MaxSplits('?', 1));
  if (head.method != "GET" || !target[0].starts_with(kPrefix)) {
    Answer(connection, 404, json::object());
    return;
  }
  const std::string kind = target[0].substr(sizeof(kPrefix) - 1);
  auto query = ParseQuery(target.size() > 1 ? target[1] : "");
  if (!query.contains("watch")) {
    List(connection, kind, query["after"]);
    return;
  }
  uint64_t revision = 0;
  int64_t wait_ms = 0;
  if (!absl::SimpleAtoi(query["watch"], &revision) ||
      !absl::SimpleAtoi(query["waitMs"], &wait_ms)) {
    Answer(connection, 400, json::object());
    return;
  }
  StartWatch(connection, kind, revision, std::chrono::milliseconds(wait_ms));
}

void StandInStore::List(http1::ServerConnection& connection,
                        const std::string& kind,
                        const std::string& after) {
  json items = json::array();
  auto object = after.empty() ? objects_[kind].begin()
                              : objects_[kind].upper_bound(after);
  for (; object != objects_[kind].end() && items.size() < kPageItems;
       ++object) {
    items.push_back(object->second);
  }
  Answer(connection, 200,
         {{"items", items},
          {"hasMore", object != objects_[kind].end()},
          {"storeRevision", revision_}});
}

void StandInStore::StartWatch(http1::ServerConnection& connection,
                              const std::string& kind,
                              uint64_t revision,
                              kernel::Duration wait) {
  if (revision + 1 < oldest_ || revision > revision_) {
    Answer(connection, 410, json::object());
    return;
  }
  const json events = EventsSince(kind, revision);
  if (!events.empty()) {
    Answer(connection, 200, {{"events", events}, {"storeRevision", revision_}});
    return;
  }
  Watch& watch = watches_[&connection];
  watch.connection = &connection;
  watch.kind = kind;
  watch.revision = revision;
  watch.timer = loop_.After(wait, [this, &connection] {
    watches_.erase(&connection);
    if (fault_ == StoreFault::kNone) {
      Answer(connection, 200,
             {{"events", json::array()}, {"storeRevision", revision_}});
    }
  });
}

void StandInStore::Answer(http1::ServerConnection& connection,
                          int status,
                          const json& body) {
  connection.Reply({.status = status,
                    .headers = {{"Content-Type", "application/json"},
                                {"Store-Era", std::to_string(era_)}}},
                   body.dump());
}

void StandInStore::OnRequestError(http1::ServerConnection& connection,
                                  http1::RequestError /*fault*/) {
  Answer(connection, 400, json::object());
}

void StandInStore::OnClosed(http1::ServerConnection& connection) {
  watches_.erase(&connection);
  connections_.Remove(connection);
}

}  // namespace jackdawshunt::testing
