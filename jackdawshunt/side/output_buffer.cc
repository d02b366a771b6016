#include "jackdawshunt/side/output_buffer.h"

#include <algorithm>

#include "nlohmann/json.hpp"

namespace jackdawshunt::side {

using protocol::StartKind;

OutputBuffer::OutputBuffer(StartKind kind,
                           size_t window_bytes,
                           int64_t first_offset)
    : kind_(kind),
      window_bytes_(window_bytes),
      first_offset_(first_offset),
      end_offset_(first_offset),
      credit_(first_offset) {}

int64_t OutputBuffer::LengthOf(const Unit& unit) const {
  return kind_ == StartKind::kModel ? 1
                                    : static_cast<int64_t>(unit.data.size());
}

void OutputBuffer::Append(const std::vector<std::string>& units) {
  for (const std::string& data : units) {
    units_.push_back({end_offset_, data});
    end_offset_ += LengthOf(units_.back());
    ahead_bytes_ += data.size();
  }
}

void OutputBuffer::SetCredit(int64_t offset) {
  credit_ = std::max(credit_, std::min(offset, end_offset_));
  while (behind_units_ < units_.size()) {
    const Unit& unit = units_[behind_units_];
    if (unit.offset + LengthOf(unit) > credit_) {
      break;
    }
    ahead_bytes_ -= unit.data.size();
    behind_bytes_ += unit.data.size();
    ++behind_units_;
  }
  Trim();
}

void OutputBuffer::Trim() {
  while (behind_bytes_ > window_bytes_) {
    const Unit& unit = units_.front();
    behind_bytes_ -= unit.data.size();
    --behind_units_;
    first_offset_ = unit.offset + LengthOf(unit);
    units_.pop_front();
  }
}

std::optional<std::string> OutputBuffer::EncodeFrom(int64_t offset) const {
  if (offset < first_offset_ || offset > end_offset_) {
    return std::nullopt;
  }
  if (offset == end_offset_) {
    return std::string();
  }
  auto unit = std::partition_point(units_.begin(), units_.end(),
                                   [this, offset](const Unit& u) {
                                     return u.offset + LengthOf(u) <= offset;
                                   });
  if (kind_ == StartKind::kModel) {
    nlohmann::json tokens = nlohmann::json::array();
    for (; unit != units_.end(); ++unit) {
      tokens.push_back(unit->data);
    }
    return tokens.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
  }
  std::string bytes = unit->data.substr(offset - unit->offset);
  for (++unit; unit != units_.end(); ++unit) {
    bytes += unit->data;
  }
  return bytes;
}

}  // namespace jackdawshunt::side
