// Validated access to the fields of a JSON object. Collects all validation
// errors instead of stopping at the first.
//
// Example:
//   std::vector<std::string> errors;
//   records::FieldReader reader(json, "/spec", errors);
//   reader.Integer("slots", records::Presence::kRequired, 1, 4096, slots);
//   reader.Finish();
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_RECORDS_FIELDS_H_
#define JACKDAWSHUNT_RECORDS_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"

namespace jackdawshunt::records {

enum class Presence { kRequired, kOptional };

// Defines which texts a field accepts.
struct TextRule {
  bool (*is_allowed)(std::string_view text);
  std::string_view requirement;  // The end of an error: "must be ...".
  bool is_secret = false;        // Errors do not show the value.
};

// 1 to 64 of letters, digits, '.', '_' and '-', the first a letter or digit.
extern const TextRule kNameRule;
// 64 hexadecimal digits.
extern const TextRule kSha256Rule;

// Parses JSON with comments. Adds errors and returns nullopt if the text is not
// JSON or an object has a field twice.
std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        std::vector<std::string>& errors);

// Returns "<pointer>: <value>: <requirement>", with the value cut to 80 bytes.
std::string MakeValidationError(std::string_view pointer,
                                const nlohmann::json& value,
                                std::string_view requirement);

// Returns the JSON pointer to a field or an array element below `pointer`.
std::string ChildPointer(std::string_view pointer, std::string_view name);

// Reads the fields of one object. The object and `errors` must outlive the
// reader.
class FieldReader {
 public:
  FieldReader(const nlohmann::json& object,
              std::string pointer,
              std::vector<std::string>& errors);

  // Each of these sets `out` only if the field is present and valid, and adds
  // an error if it is invalid or a required field is missing.
  void Text(std::string_view name,
            Presence presence,
            const TextRule& rule,
            std::string& out);
  void Texts(std::string_view name,
             Presence presence,
             const TextRule& rule,
             size_t min_count,
             size_t max_count,
             std::vector<std::string>& out);
  void Choice(std::string_view name,
              Presence presence,
              std::span<const std::string_view> choices,
              std::string& out);
  void Number(std::string_view name,
              Presence presence,
              double min,
              double max,
              double& out);
  void Flag(std::string_view name, Presence presence, bool& out);
  template <typename T>
  void Integer(std::string_view name,
               Presence presence,
               int64_t min,
               int64_t max,
               T& out) {
    if (const auto value = CheckedInteger(name, presence, min, max)) {
      out = static_cast<T>(*value);
    }
  }
  // Return null if the field is absent or invalid. Add errors as above.
  const nlohmann::json* Object(std::string_view name, Presence presence);
  const nlohmann::json* Array(std::string_view name,
                              Presence presence,
                              size_t min_count,
                              size_t max_count);

  // Returns whether the object has the field.
  bool Has(std::string_view name) const;
  // Adds an error for a field.
  void Reject(std::string_view name, std::string_view requirement);
  // Adds an error for every field of the object that was not read.
  void Finish();

 private:
  const nlohmann::json* Find(std::string_view name,
                             Presence presence,
                             std::string_view requirement);
  std::optional<int64_t> CheckedInteger(std::string_view name,
                                        Presence presence,
                                        int64_t min,
                                        int64_t max);

  const nlohmann::json& object_;
  std::string pointer_;
  std::vector<std::string>& errors_;
  std::set<std::string, std::less<>> read_fields_;
};

}  // namespace jackdawshunt::records

#endif  // JACKDAWSHUNT_RECORDS_FIELDS_H_
