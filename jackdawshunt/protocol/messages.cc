#include "jackdawshunt/protocol/messages.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "jackdawshunt/protocol/internal/schema.h"

namespace jackdawshunt::protocol {
namespace {

constexpr std::array<std::string_view, 2> kRoleNames = {"entry", "side"};
constexpr std::array<std::string_view, 2> kRequestClassNames = {"short",
                                                                "long"};
constexpr std::array<std::string_view, 2> kStartKindNames = {"model",
                                                             "service"};

template <typename Enum>
std::optional<Enum> ParseName(const std::array<std::string_view, 2>& names,
                              std::string_view name) {
  const auto* found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(std::distance(names.begin(), found));
}

}  // namespace

std::string_view RoleName(Role role) {
  return kRoleNames.at(static_cast<size_t>(role));
}

std::optional<Role> ParseRole(std::string_view name) {
  return ParseName<Role>(kRoleNames, name);
}

std::string_view RequestClassName(RequestClass request_class) {
  return kRequestClassNames.at(static_cast<size_t>(request_class));
}

std::optional<RequestClass> ParseRequestClass(std::string_view name) {
  return ParseName<RequestClass>(kRequestClassNames, name);
}

std::string_view StartKindName(StartKind kind) {
  return kStartKindNames.at(static_cast<size_t>(kind));
}

std::optional<StartKind> ParseStartKind(std::string_view name) {
  return ParseName<StartKind>(kStartKindNames, name);
}

std::string_view MessageName(const Message& message) {
  return std::visit(
      []<typename M>(const M&) { return internal::Schema<M>::kName; }, message);
}

bool CarriesCallerData(const Message& message) {
  return std::holds_alternative<Start>(message) ||
         std::holds_alternative<Chunk>(message) ||
         std::holds_alternative<Done>(message);
}

}  // namespace jackdawshunt::protocol
