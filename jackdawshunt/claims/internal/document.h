// The value of one object claims/<home>. Does no I/O.
//
//   {"schema": 1, "claims": [{"key", "workspace", "request", "fingerprint",
//                             "state", "time", "write", "answer"}]}
//
// Example:
//   absl::StatusOr<Document> document = Document::Parse(object.value);
//   document->Put(claim);
//   client.Put(key, document->Serialise(), object.version, done);
#ifndef JACKDAWSHUNT_CLAIMS_INTERNAL_DOCUMENT_H_
#define JACKDAWSHUNT_CLAIMS_INTERNAL_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/claims/claims.h"

namespace jackdawshunt::claims::internal {

// Size limit of an object of the platform.
inline constexpr size_t kMaxObjectBytes = size_t{1} << 20;
// Larger answers are not recorded.
inline constexpr size_t kMaxRecordedBody = size_t{8} << 10;
// Claims are removed at this age, in seconds.
inline constexpr int64_t kExpirySeconds = 86'400;

enum class State { kClaimed, kDone, kUnknown };

struct Claim {
  std::string key;  // Hash of workspace and Idempotency-Key.
  std::string workspace;
  std::string request;
  std::string fingerprint;
  State state = State::kClaimed;
  RecordedAnswer answer;  // kDone.
  int64_t time = 0;       // Unix time of the claim in seconds.
  std::string write;      // Id of the write that last changed the claim.
};

class Document {
 public:
  // Error: DataLoss when the text is not a document of a known schema. It must
  // not be taken for an empty one, because that would drop claims.
  static absl::StatusOr<Document> Parse(std::string_view text);
  std::string Serialise() const;

  const Claim* Find(std::string_view key) const;
  size_t size() const { return rows_.size(); }
  size_t bytes() const { return bytes_; }
  // Adds or replaces the claim of the key; false when it does not fit. Room is
  // kept so that every claim of the document can still get an outcome.
  bool Put(Claim claim);
  void Erase(std::string_view key);
  void DropExpired(int64_t now);

 private:
  struct Row {
    Claim claim;
    std::string text;  // Serialised claim.
  };

  void Insert(Claim claim, std::string text);

  std::map<std::string, Row, std::less<>> rows_;  // By key.
  size_t bytes_ = 0;  // Sum of the texts with separators and kept room.
};

}  // namespace jackdawshunt::claims::internal

#endif  // JACKDAWSHUNT_CLAIMS_INTERNAL_DOCUMENT_H_
