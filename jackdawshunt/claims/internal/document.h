// Value of one object claims/<shard>. Does no I/O and is not thread-safe.
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
// Larger bodies of answers are not recorded.
inline constexpr size_t kMaxRecordedBodyBytes = size_t{8} << 10;
// Age at which claims are removed.
inline constexpr int64_t kExpirySeconds = 86'400;

enum class State { kClaimed, kDone, kUnknown };

struct Claim {
  std::string key;  // Hash of workspace and Idempotency-Key.
  std::string workspace;
  std::string request;
  std::string fingerprint;
  State state = State::kClaimed;
  RecordedAnswer answer;  // Set with kDone.
  int64_t time = 0;       // Unix time of the claim, in seconds.
  std::string write_id;   // Id of the last write that changed the claim.
};

class Document {
 public:
  // Returns the document, or DataLoss when the text is not a document of a
  // known schema. Callers must not treat it as empty, because that would lose
  // claims.
  static absl::StatusOr<Document> Parse(std::string_view text);
  // Returns the JSON text that Parse() reads.
  std::string Serialise() const;

  // Returns the claim of the key; null when there is none.
  const Claim* Find(std::string_view key) const;
  size_t size() const { return rows_.size(); }
  // Returns the size of the claims with separators and reserved space.
  size_t bytes() const { return bytes_; }
  // Adds or replaces the claim of the key. Returns false and changes nothing
  // when it does not fit. Space is reserved so that an outcome without body
  // still fits for every claim of the document.
  bool Put(Claim claim);
  void Erase(std::string_view key);
  // Removes claims that are kExpirySeconds old at `now`, a Unix time in
  // seconds.
  void RemoveExpired(int64_t now);

 private:
  struct Row {
    Claim claim;
    std::string text;  // Serialised claim.
  };

  void Insert(Claim claim, std::string text);

  std::map<std::string, Row, std::less<>> rows_;  // By key.
  size_t bytes_ = 0;  // Texts, separators and reserved space.
};

}  // namespace jackdawshunt::claims::internal

#endif  // JACKDAWSHUNT_CLAIMS_INTERNAL_DOCUMENT_H_
