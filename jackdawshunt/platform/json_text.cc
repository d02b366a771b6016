#include "jackdawshunt/platform/json_text.h"

#include <algorithm>

namespace jackdawshunt::platform {
namespace {

constexpr std::string_view kReplacement = "[]";
constexpr std::string_view kReplacementName = "\"?\"";
// An integer of so few digits fits every type.
constexpr size_t kMaxPlainDigits = 15;

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < 0x20;
}

// Between values, control characters count as white space.
bool IsSpace(char c) {
  return c == ' ' || IsControl(c);
}

bool IsStructural(char c) {
  return c == '[' || c == ']' || c == '{' || c == '}' || c == ',' || c == ':';
}

// Returns the length of the character that begins at `text[i]`, or 0 if its
// bytes are not UTF-8 or it is a control character.
size_t CharacterLength(std::string_view text, size_t i) {
  const auto at = [text](size_t k) {
    return static_cast<unsigned char>(text[k]);
  };
  const unsigned char byte = at(i);
  if (byte >= 0x20 && byte < 0x80) {
    return 1;
  }
  if (byte < 0xc2 || byte > 0xf4) {
    return 0;
  }
  const size_t length = byte >= 0xf0 ? 4 : byte >= 0xe0 ? 3 : 2;
  if (i + length > text.size()) {
    return 0;
  }
  for (size_t k = 1; k < length; ++k) {
    if ((at(i + k) & 0xc0) != 0x80) {
      return 0;
    }
  }
  const bool is_out_of_range = (byte == 0xe0 && at(i + 1) < 0xa0) ||
                               (byte == 0xed && at(i + 1) > 0x9f) ||
                               (byte == 0xf0 && at(i + 1) < 0x90) ||
                               (byte == 0xf4 && at(i + 1) > 0x8f);
  return is_out_of_range ? 0 : length;
}

std::string ReplaceUnreadableBytes(std::string_view text) {
  std::string replaced(text);
  for (size_t i = 0; i < text.size();) {
    const size_t length = CharacterLength(text, i);
    if (length == 0) {
      replaced[i] = IsControl(text[i]) ? ' ' : '?';
    }
    i += std::max<size_t>(length, 1);
  }
  return replaced;
}

// Copies the text token by token.
class Repairer {
 public:
  explicit Repairer(std::string_view text) : text_(text) {
    repaired_.reserve(text.size());
  }

  std::string Run() {
    while (position_ < text_.size()) {
      const char c = text_[position_];
      if (c == '"') {
        CopyString();
      } else if (c == '[' || c == '{') {
        Open();
      } else if (IsStructural(c) || IsSpace(c)) {
        depth_ -= (c == ']' || c == '}') && depth_ > 0 ? 1 : 0;
        repaired_.push_back(IsControl(c) ? ' ' : c);
        ++position_;
      } else {
        CopyWord();
      }
    }
    return std::move(repaired_);
  }

 private:
  // Returns the string token at the position and moves behind it.
  std::string_view TakeString() {
    size_t end = position_ + 1;
    while (end < text_.size() && text_[end] != '"') {
      end += text_[end] == '\\' ? 2 : 1;
    }
    end = std::min(end + 1, text_.size());
    const std::string_view token = text_.substr(position_, end - position_);
    position_ = end;
    return token;
  }

  // Returns whether the string before the position is the name of a field.
  bool IsBehindName() const {
    size_t next = position_;
    while (next < text_.size() && IsSpace(text_[next])) {
      ++next;
    }
    return next < text_.size() && text_[next] == ':';
  }

  void CopyString() {
    const std::string_view token = TakeString();
    const bool is_plain = std::all_of(token.begin(), token.end(), [](char c) {
      return c >= 0x20 && c < 0x7f && c != '\\';
    });
    if (is_plain || nlohmann::json::accept(token)) {
      repaired_.append(token);
      return;
    }
    if (!IsBehindName()) {
      repaired_.append(kReplacement);
      return;
    }
    const std::string replaced = ReplaceUnreadableBytes(token);
    repaired_.append(nlohmann::json::accept(replaced)
                         ? std::string_view(replaced)
                         : kReplacementName);
  }

  // Copies a number or another word without quotes.
  void CopyWord() {
    const size_t begin = position_;
    while (position_ < text_.size() && text_[position_] != '"' &&
           !IsStructural(text_[position_]) && !IsSpace(text_[position_])) {
      ++position_;
    }
    const std::string_view token = text_.substr(begin, position_ - begin);
    const bool is_plain =
        token.size() <= kMaxPlainDigits && token.front() != '0' &&
        std::all_of(token.begin(), token.end(),
                    [](char c) { return c >= '0' && c <= '9'; });
    repaired_.append(is_plain || nlohmann::json::accept(token) ? token
                                                               : kReplacement);
  }

  void Open() {
    if (depth_ == kMaxJsonDepth) {
      SkipNested();
      repaired_.append(kReplacement);
      return;
    }
    ++depth_;
    repaired_.push_back(text_[position_++]);
  }

  // Moves behind the array or object at the position.
  void SkipNested() {
    size_t open = 0;
    while (position_ < text_.size()) {
      const char c = text_[position_];
      if (c == '"') {
        TakeString();
        continue;
      }
      ++position_;
      if (c == '[' || c == '{') {
        ++open;
      } else if ((c == ']' || c == '}') && --open == 0) {
        return;
      }
    }
  }

  const std::string_view text_;
  size_t position_ = 0;
  size_t depth_ = 0;
  std::string repaired_;
};

}  // namespace

std::string RepairJson(std::string_view text) {
  return Repairer(text).Run();
}

bool IsReplacement(const nlohmann::json& value) {
  return value.is_array() && value.empty();
}

}  // namespace jackdawshunt::platform
