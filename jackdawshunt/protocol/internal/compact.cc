#include "jackdawshunt/protocol/internal/compact.h"

#include <cmath>
#include <cstdint>
#include <limits>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "jackdawshunt/protocol/internal/binary.h"
#include "jackdawshunt/protocol/internal/schema.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::protocol::internal {
namespace {

using nlohmann::json;

// Number of each message on the wire; 0 for messages without a compact form.
template <typename M>
inline constexpr int kMessageNumber = 0;
template <>
inline constexpr int kMessageNumber<Heartbeat> = 1;
template <>
inline constexpr int kMessageNumber<Bid> = 2;
template <>
inline constexpr int kMessageNumber<Grant> = 3;
template <>
inline constexpr int kMessageNumber<Decline> = 4;
template <>
inline constexpr int kMessageNumber<Accepted> = 5;
template <>
inline constexpr int kMessageNumber<Credit> = 6;

json ToJson(RequestClass value) {
  return static_cast<int>(value);
}
json ToJson(const BidItem& item);
template <typename T>
json ToJson(const T& value) {
  return value;
}
json ToJson(const std::vector<BidItem>& items) {
  json list = json::array();
  for (const BidItem& item : items) {
    list.push_back(ToJson(item));
  }
  return list;
}

// Schema visitor that appends the fields to an array.
class Writer {
 public:
  explicit Writer(json& array) : array_(array) {}

  template <typename T>
  void operator()(const char*, const T& value) {
    array_.push_back(ToJson(value));
  }

 private:
  json& array_;
};

json ToJson(const BidItem& item) {
  json fields = json::array();
  Writer writer(fields);
  Schema<BidItem>::Visit(writer, item);
  return fields;
}

// Schema visitor that reads the fields from an array, beginning at index
// `first`. Sets `ok` to false when the type or range of a field is wrong.
class Reader {
 public:
  Reader(const json& array, size_t first, bool& ok)
      : array_(array), next_index_(first), ok_(ok) {}

  template <typename T>
  void operator()(const char*, T& value) {
    if (next_index_ < array_.size()) {
      ok_ = Read(array_[next_index_++], value) && ok_;
    }
  }

 private:
  static bool Read(const json& field, bool& value) {
    value = field.is_boolean() && field.get<bool>();
    return field.is_boolean();
  }
  static bool Read(const json& field, double& value) {
    value = field.is_number() ? field.get<double>() : NAN;
    return std::isfinite(value);
  }
  static bool Read(const json& field, std::string& value) {
    if (!field.is_string()) {
      return false;
    }
    value = field.get<std::string>();
    return true;
  }
  static bool Read(const json& field, uint64_t& value) {
    value = field.is_number_unsigned() ? field.get<uint64_t>() : 0;
    return field.is_number_unsigned();
  }
  static bool Read(const json& field, int64_t& value) {
    const bool is_too_large =
        field.is_number_unsigned() &&
        field.get<uint64_t>() >
            static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
    if (!field.is_number_integer() || is_too_large) {
      return false;
    }
    value = field.get<int64_t>();
    return true;
  }
  static bool Read(const json& field, int32_t& value) {
    int64_t number = 0;
    if (!Read(field, number) || number < std::numeric_limits<int32_t>::min() ||
        number > std::numeric_limits<int32_t>::max()) {
      return false;
    }
    value = static_cast<int32_t>(number);
    return true;
  }
  static bool Read(const json& field, RequestClass& value) {
    int32_t number = 0;
    if (!Read(field, number) || number < 0 ||
        number > static_cast<int32_t>(RequestClass::kLong)) {
      return false;
    }
    value = static_cast<RequestClass>(number);
    return true;
  }
  static bool Read(const json& field, std::vector<BidItem>& items) {
    if (!field.is_array()) {
      return false;
    }
    bool ok = true;
    for (const json& item : field) {
      if (!item.is_array()) {
        return false;
      }
      Reader reader(item, /*first=*/0, ok);
      Schema<BidItem>::Visit(reader, items.emplace_back());
    }
    return ok;
  }

  const json& array_;
  size_t next_index_;
  bool& ok_;
};

// Decodes a message of type M into `result` and returns true when `number` is
// the number of M. Leaves `result` empty when a field is malformed.
template <typename M>
bool ReadAs(int number, const json& array, std::optional<Message>& result) {
  if (number != kMessageNumber<M>) {
    return false;
  }
  M message;
  bool ok = true;
  Reader reader(array, /*first=*/1, ok);
  Schema<M>::Visit(reader, message);
  if (ok) {
    result = std::move(message);
  }
  return true;
}

}  // namespace

std::optional<std::string> EncodeCompact(const Message& message) {
  return std::visit(
      []<typename M>(const M& content) -> std::optional<std::string> {
        if constexpr (kMessageNumber<M> == 0) {
          return std::nullopt;
        } else {
          json array = json::array({kMessageNumber<M>});
          Writer writer(array);
          Schema<M>::Visit(writer, content);
          std::string body;
          json::to_cbor(array, body);
          return body;
        }
      },
      message);
}

absl::StatusOr<Message> DecodeCompact(std::string_view body) {
  const absl::Status malformed =
      absl::InvalidArgumentError("malformed compact frame");
  if (!IsBoundedCbor(body)) {
    return malformed;
  }
  const json array = json::from_cbor(body.begin(), body.end(), /*strict=*/true,
                                     /*allow_exceptions=*/false);
  if (!array.is_array() || array.empty() || !array[0].is_number_unsigned()) {
    return malformed;
  }
  const auto number = static_cast<int>(array[0].get<uint8_t>());
  std::optional<Message> result;
  ReadAs<Heartbeat>(number, array, result) ||
      ReadAs<Bid>(number, array, result) ||
      ReadAs<Grant>(number, array, result) ||
      ReadAs<Decline>(number, array, result) ||
      ReadAs<Accepted>(number, array, result) ||
      ReadAs<Credit>(number, array, result);
  if (!result.has_value()) {
    return malformed;
  }
  return *std::move(result);
}

}  // namespace jackdawshunt::protocol::internal
