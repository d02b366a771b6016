#include "jackdawshunt/routing/testing/engine_model.h"

#include <algorithm>
#include <utility>

namespace jackdawshunt::routing::testing {
namespace {

kernel::Duration FromMs(double ms) {
  return kernel::Duration(static_cast<int64_t>(ms * 1000));
}

}  // namespace

void EngineModel::Submit(std::string request,
                         const Prompt& prompt,
                         const std::vector<uint64_t>& keys,
                         kernel::TimePoint now,
                         kernel::TimePoint deadline) {
  clock_ = std::max(clock_, now);
  Work work;
  work.request = std::move(request);
  work.prompt = prompt;
  work.keys = keys;
  work.submitted_at = now;
  work.deadline = deadline;
  work.tokens_to_generate = prompt.max_output_tokens;
  waiting_.push_back(std::move(work));
}

void EngineModel::CountUncached(Work& work) {
  work.is_counted = true;
  bool is_cached = true;
  for (size_t i = 0; i < work.keys.size(); ++i) {
    is_cached = is_cached && parts_.contains(work.keys[i]);
    if (!is_cached) {
      work.uncached_tokens += work.prompt.parts[i].tokens;
      if (i + 1 < work.keys.size()) {
        shared_tokens_prefilled_ += work.prompt.parts[i].tokens;
      }
    }
  }
}

void EngineModel::CacheParts(const Work& work) {
  for (size_t i = 0; i < work.keys.size(); ++i) {
    const auto part = parts_.find(work.keys[i]);
    if (part != parts_.end()) {
      recency_.erase(part->second.second);
    } else {
      cached_tokens_ += work.prompt.parts[i].tokens;
    }
    recency_.push_front(work.keys[i]);
    parts_[work.keys[i]] = {work.prompt.parts[i].tokens, recency_.begin()};
  }
  while (cached_tokens_ > settings_.cache_tokens && !recency_.empty()) {
    const auto part = parts_.find(recency_.back());
    cached_tokens_ -= part->second.first;
    parts_.erase(part);
    recency_.pop_back();
  }
}

bool EngineModel::MayPrefill() const {
  return !waiting_.empty() &&
         (settings_.slots == 0 || running_.size() < settings_.slots);
}

std::vector<std::string> EngineModel::AdvanceTo(kernel::TimePoint now) {
  std::vector<std::string> started;
  while (clock_ < now && (!waiting_.empty() || !running_.empty())) {
    // One step: a token for each running stream and at most one chunk of
    // prefill.
    double ms = settings_.step_ms;
    const bool may_prefill = MayPrefill();
    if (may_prefill) {
      Work& work = waiting_.front();
      if (!work.is_counted) {
        CountUncached(work);
      }
      const uint64_t chunk =
          std::min<uint64_t>(work.uncached_tokens, settings_.chunk_tokens);
      work.uncached_tokens -= chunk;
      ms += static_cast<double>(chunk) / settings_.prefill_tokens_per_ms;
    }
    const kernel::Duration step = FromMs(ms * slowdown_);
    clock_ += step;
    for (auto work = running_.begin(); work != running_.end();) {
      work->longest_pause = std::max(work->longest_pause, step);
      work->tokens_to_generate -= work->tokens_to_generate > 0 ? 1 : 0;
      const bool is_late = clock_ > work->deadline;
      if (work->tokens_to_generate == 0 || is_late) {
        results_.push_back(
            {work->request, work->first_event, !is_late, work->longest_pause});
        work = running_.erase(work);
      } else {
        ++work;
      }
    }
    if (may_prefill && waiting_.front().uncached_tokens == 0) {
      Work work = std::move(waiting_.front());
      waiting_.pop_front();
      CacheParts(work);
      work.first_event = clock_ - work.submitted_at;
      started.push_back(work.request);
      running_.push_back(std::move(work));
    }
  }
  clock_ = std::max(clock_, now);
  return started;
}

}  // namespace jackdawshunt::routing::testing
