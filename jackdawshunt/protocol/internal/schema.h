// Defines the names of the messages and of their fields, for encoders and
// decoders. A visitor is called with the name of each field and a reference to
// it. Fields with a caller's or an operator's text are passed to the visitor's
// Blob() and sent outside the JSON text, where they need no escapes.
//
// Example:
//   Schema<Decline>::Visit(visitor, message);  // Calls visitor("grant", ...).
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_SCHEMA_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_SCHEMA_H_

#include <string_view>

#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol::internal {

template <typename T>
struct Schema;

template <>
struct Schema<Heartbeat> {
  static constexpr std::string_view kName = "heartbeat";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("config_revision", m.config_revision);
    v("config_digest", m.config_digest);
    v("draining", m.draining);
    v("free_slots", m.free_slots);
    v("slots", m.slots);
    v("has_bids", m.has_bids);
  }
};

template <>
struct Schema<BidItem> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("workspace", m.workspace);
    v("class", m.request_class);
    v("waiting", m.waiting);
    v("service", m.service);
    v("estimate", m.estimate);
  }
};

template <>
struct Schema<Bid> {
  static constexpr std::string_view kName = "bid";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("model", m.model);
    v("items", m.items);
  }
};

template <>
struct Schema<Grant> {
  static constexpr std::string_view kName = "grant";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("grant", m.grant);
    v("model", m.model);
    v("workspace", m.workspace);
    v("class", m.request_class);
    v("valid_ms", m.valid_ms);
  }
};

template <>
struct Schema<Start> {
  static constexpr std::string_view kName = "start";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("grant", m.grant);
    v("side_incarnation", m.side_incarnation);
    v("request", m.request);
    v("attempt", m.attempt);
    v("workspace", m.workspace);
    v("model", m.model);
    v("class", m.request_class);
    v("kind", m.kind);
    v("repeatable", m.repeatable);
    v("method", m.method);
    v("path", m.path);
    v("content_type", m.content_type);
    v.Blob("body", m.body);
    v("resume_tokens", m.resume_tokens);
  }
};

template <>
struct Schema<Decline> {
  static constexpr std::string_view kName = "decline";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("grant", m.grant);
  }
};

template <>
struct Schema<Query> {
  static constexpr std::string_view kName = "query";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("grant", m.grant);
    v("side_incarnation", m.side_incarnation);
    v("request", m.request);
    v("attempt", m.attempt);
  }
};

template <>
struct Schema<Refused> {
  static constexpr std::string_view kName = "refused";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("grant", m.grant);
    v("request", m.request);
    v("attempt", m.attempt);
    v("reason", m.reason);
  }
};

template <>
struct Schema<Accepted> {
  static constexpr std::string_view kName = "accepted";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("request", m.request);
    v("attempt", m.attempt);
  }
};

// Encoded by EncodeChunk(), which needs no field names.
template <>
struct Schema<Chunk> {
  static constexpr std::string_view kName = "chunk";
};

template <>
struct Schema<Done> {
  static constexpr std::string_view kName = "done";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("request", m.request);
    v("attempt", m.attempt);
    v("length", m.length);
    v("input_tokens", m.input_tokens);
    v("output_tokens", m.output_tokens);
    v("finish_reason", m.finish_reason);
    v("http_status", m.http_status);
    v("content_type", m.content_type);
  }
};

template <>
struct Schema<Failed> {
  static constexpr std::string_view kName = "failed";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("request", m.request);
    v("attempt", m.attempt);
    v("kind", m.kind);
    v("ran", m.ran);
    v("message", m.message);
    v("tokens", m.tokens);
  }
};

template <>
struct Schema<Attach> {
  static constexpr std::string_view kName = "attach";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("request", m.request);
    v("workspace", m.workspace);
    v("offset", m.offset);
  }
};

template <>
struct Schema<Credit> {
  static constexpr std::string_view kName = "credit";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("request", m.request);
    v("attempt", m.attempt);
    v("offset", m.offset);
  }
};

template <>
struct Schema<Cancel> {
  static constexpr std::string_view kName = "cancel";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("request", m.request);
    v("attempt", m.attempt);
  }
};

// Encoded by EncodeCounters(), which needs no field names.
template <>
struct Schema<Counters> {
  static constexpr std::string_view kName = "counters";
};

template <>
struct Schema<ConfigPull> {
  static constexpr std::string_view kName = "config_pull";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("known", m.known);
  }
};

template <>
struct Schema<ConfigRecord> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("key", m.key);
    v("version", m.version);
    v("deleted", m.deleted);
    v.Blob("value", m.value);
  }
};

template <>
struct Schema<ConfigPush> {
  static constexpr std::string_view kName = "config_push";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("records", m.records);
  }
};

template <>
struct Schema<ListedInstance> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("instance", m.instance);
    v("role", m.role);
    v("region", m.region);
    v("data_centre", m.data_centre);
    v("process", m.process);
    v("operator", m.operator_address);
    v("leaving", m.is_leaving);
  }
};

template <>
struct Schema<InstanceList> {
  static constexpr std::string_view kName = "instance_list";
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v("instances", m.instances);
  }
};

// True for messages with fields that are sent outside the JSON text.
template <typename M>
inline constexpr bool kHasBlob =
    std::is_same_v<M, Start> || std::is_same_v<M, ConfigPush>;

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_SCHEMA_H_
