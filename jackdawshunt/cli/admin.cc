#include "jackdawshunt/cli/admin.h"

#include <algorithm>
#include <iomanip>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/http/client.h"

namespace jackdawshunt::cli {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an answer that never comes. Far above the client's own timeout
// of a call.
constexpr kernel::Duration kAwaitLimit = seconds(60);
constexpr kernel::Duration kStatusTimeout = seconds(2);
// Each poll is one billed call to the platform.
constexpr kernel::Duration kPollPeriod = milliseconds(250);
// Time to find out whether a write whose answer was lost took effect.
constexpr kernel::Duration kResolveLimit = seconds(15);
constexpr kernel::Duration kResolvePause = milliseconds(200);

// Compares the texts as JSON, because the platform may reformat a stored value.
bool IsSameValue(const std::string& a, const std::string& b) {
  const Json left = Json::parse(a, nullptr, false, true);
  const Json right = Json::parse(b, nullptr, false, true);
  return a == b || (!left.is_discarded() && left == right);
}

std::string Describe(const object_api::Object& object) {
  return object.version == 0
             ? std::string("does not exist")
             : absl::StrCat("version ", object.version, ": ", object.value);
}

// Returns a key that distinguishes the old and the new process of an instance
// that was replaced.
std::string NameAndAddress(const object_api::Instance& instance) {
  return absl::StrCat(instance.instance, " ",
                      instance.operator_address.ToString());
}

// Returns the entry of `key` in the rejected records, or null when the record
// is not rejected.
Json FindRejected(const Json& status, const std::string& key) {
  for (const Json& row : status.value("rejected", Json::array())) {
    if (row.value("key", "") == key) {
      return row;
    }
  }
  return {};
}

// Returns why `versions` are not yet in effect according to `status`, or an
// empty string when they are. Sets `is_final` when waiting longer cannot help.
std::string ReasonNotInEffect(const Json& status,
                              const Versions& versions,
                              bool& is_final) {
  const auto revision = status.value("revision", uint64_t{0});
  const Json reported_versions = status.value("versions", Json::object());
  for (const auto& [key, version] : versions) {
    const Json rejected = FindRejected(status, key);
    if (rejected.is_object() &&
        rejected.value("version", uint64_t{0}) >= version &&
        rejected.value("version_in_force", uint64_t{0}) < version) {
      is_final = true;
      return absl::StrCat("rejects version ",
                          rejected.value("version", uint64_t{0}), " of ", key,
                          ", in force is ",
                          rejected.value("version_in_force", uint64_t{0}), ": ",
                          rejected.value("fault", ""));
    }
    const auto reported = reported_versions.value(key, uint64_t{0});
    if (revision < version || reported < version) {
      return absl::StrCat("has ", key, " at version ", reported,
                          " and revision ", revision);
    }
  }
  return "";
}

}  // namespace

Admin::Admin(kernel::EventLoop& loop,
             object_api::Client& client,
             std::ostream& out,
             std::ostream& err)
    : loop_(loop), client_(client), out_(out), err_(err) {}

template <typename T>
absl::StatusOr<T> Admin::Await(
    const std::function<void(object_api::Callback<T>)>& start) {
  // Shared, because the answer may arrive after the wait has timed out.
  auto answer = std::make_shared<std::optional<absl::StatusOr<T>>>();
  start([answer](absl::StatusOr<T> result) { *answer = std::move(result); });
  if (!loop_.RunUntil([&] { return answer->has_value(); }, kAwaitLimit)) {
    return absl::UnknownError("no answer from the platform");
  }
  return **answer;
}

void Admin::Pause(kernel::Duration time) {
  loop_.RunUntil([] { return false; }, time);
}

absl::StatusOr<object_api::Object> Admin::Read(const std::string& key) {
  auto object = Await<object_api::Object>(
      [&](auto done) { client_.Get(key, std::move(done)); });
  if (absl::IsNotFound(object.status())) {
    return object_api::Object{.key = key};
  }
  return object;
}

ExitCode Admin::ReportFailure(const std::string& what,
                              const absl::Status& status) {
  err_ << what << ": " << status.ToString() << "\n";
  return ExitCode::kFailed;
}

ExitCode Admin::CheckTokens(const std::vector<RecordText>& records) {
  std::map<std::string, records::Workspace> workspaces;
  for (const RecordText& text : records) {
    if (const auto* w = std::get_if<records::Workspace>(&text.record.spec)) {
      workspaces[w->name] = *w;
    }
  }
  if (workspaces.empty()) {
    return ExitCode::kDone;
  }
  const auto listing = Await<object_api::Listing>(
      [&](auto done) { client_.List("config/workspace/", std::move(done)); });
  if (!listing.ok()) {
    return ReportFailure("cannot list the workspaces", listing.status());
  }
  for (const object_api::Object& object : listing->objects) {
    const auto record = records::Parse(object.value);
    if (record.ok() && records::KeyOf(*record) == object.key) {
      workspaces.emplace(record->name,
                         std::get<records::Workspace>(record->spec));
    }
  }
  std::vector<records::Workspace> all;
  all.reserve(workspaces.size());
  for (const auto& [name, workspace] : workspaces) {
    all.push_back(workspace);
  }
  const std::vector<std::string> errors = TokenConflicts(all);
  for (const std::string& error : errors) {
    err_ << error << "\n";
  }
  return errors.empty() ? ExitCode::kDone : ExitCode::kInvalid;
}

ExitCode Admin::Apply(const std::vector<RecordText>& records,
                      const WriteOptions& options) {
  if (options.expect.has_value() && records.size() != 1) {
    err_ << "--expect needs exactly one record, there are " << records.size()
         << "\n";
    return ExitCode::kInvalid;
  }
  if (const ExitCode code = CheckTokens(records); code != ExitCode::kDone) {
    return code;
  }
  Versions versions;
  for (size_t i = 0; i < records.size(); ++i) {
    const ExitCode code =
        WriteOne({records[i].key, records[i].value}, options.expect, versions);
    if (code != ExitCode::kDone) {
      for (size_t j = i + 1; j < records.size(); ++j) {
        err_ << records[j].key << " not attempted\n";
      }
      return code;
    }
  }
  return WaitForInstances(versions, options);
}

ExitCode Admin::Delete(const std::string& key, const WriteOptions& options) {
  Versions versions;
  const ExitCode code = WriteOne({key, std::nullopt}, options.expect, versions);
  return code == ExitCode::kDone ? WaitForInstances(versions, options) : code;
}

ExitCode Admin::WriteOne(const Write& write,
                         std::optional<uint64_t> expect,
                         Versions& versions) {
  uint64_t expected = expect.value_or(0);
  if (!expect.has_value()) {
    const auto current = Read(write.key);
    if (!current.ok()) {
      return ReportFailure(absl::StrCat("cannot read ", write.key),
                           current.status());
    }
    expected = current->version;
    if (write.value.has_value() && expected != 0 &&
        IsSameValue(current->value, *write.value)) {
      versions[write.key] = expected;
      out_ << write.key << " unchanged, version " << expected << "\n";
      return ExitCode::kDone;
    }
  }
  if (!write.value.has_value() && expected == 0) {
    err_ << write.key << " does not exist\n";
    return ExitCode::kFailed;
  }
  auto version = Send(write, expected);
  if (absl::IsUnknown(version.status())) {
    version = ResolveUnknownWrite(write, expected);
  }
  if (absl::IsAborted(version.status())) {
    return ReportLostRace(write, expected);
  }
  if (!version.ok()) {
    return ReportFailure(
        absl::StrCat(write.key, absl::IsUnknown(version.status())
                                    ? " may have been written"
                                    : " was not written"),
        version.status());
  }
  versions[write.key] = *version;
  out_ << write.key << (write.value.has_value() ? " written" : " deleted")
       << ", version " << *version << "\n";
  return ExitCode::kDone;
}

absl::StatusOr<uint64_t> Admin::Send(const Write& write, uint64_t expected) {
  return Await<uint64_t>([&](auto done) {
    if (write.value.has_value()) {
      client_.Put(write.key, *write.value, expected, std::move(done));
    } else {
      client_.Delete(write.key, expected, std::move(done));
    }
  });
}

// A conditional write takes effect at most once, so it can be repeated safely,
// and the object read back shows whether it took effect.
absl::StatusOr<uint64_t> Admin::ResolveUnknownWrite(const Write& write,
                                                    uint64_t expected) {
  const kernel::TimePoint deadline = loop_.clock().Now() + kResolveLimit;
  while (loop_.clock().Now() < deadline) {
    const auto object = Read(write.key);
    if (!object.ok()) {
      Pause(kResolvePause);
      continue;
    }
    const bool is_written = write.value.has_value()
                                ? object->version != expected &&
                                      IsSameValue(object->value, *write.value)
                                : object->version == 0;
    if (is_written && write.value.has_value()) {
      return object->version;
    }
    if (is_written) {
      // The version of a deletion cannot be read. The revision of a list
      // without the key is at least as high.
      const auto listing = Await<object_api::Listing>(
          [&](auto done) { client_.List(write.key, std::move(done)); });
      if (listing.ok()) {
        return listing->revision;
      }
    } else if (object->version != expected) {
      return absl::AbortedError("another version was written");
    } else {
      auto version = Send(write, expected);
      const bool is_unresolved = absl::IsUnknown(version.status()) ||
                                 absl::IsUnavailable(version.status()) ||
                                 absl::IsAborted(version.status()) ||
                                 absl::IsNotFound(version.status());
      if (!is_unresolved) {
        return version;
      }
    }
    Pause(kResolvePause);
  }
  return absl::UnknownError(
      "the answer to the write was lost, and the object "
      "could not be read back");
}

ExitCode Admin::ReportLostRace(const Write& write, uint64_t expected) {
  const auto current = Read(write.key);
  err_ << "lost race: " << write.key << " does not have the expected version "
       << expected << (expected == 0 ? " (absent)" : "") << ", not written\n"
       << "  stored, "
       << (current.ok() ? Describe(*current) : current.status().ToString())
       << "\n  yours, based on version " << expected << ": "
       << write.value.value_or("(delete)") << "\n";
  return ExitCode::kLostRace;
}

std::vector<Admin::InstanceStatus> Admin::ReadStatuses(
    const std::vector<object_api::Instance>& instances,
    const std::string& operator_token) {
  http::Client http_client(loop_);
  std::vector<InstanceStatus> rows;
  std::vector<std::unique_ptr<http::Call>> calls;
  size_t pending = instances.size();
  rows.reserve(instances.size());
  for (const object_api::Instance& instance : instances) {
    rows.push_back({instance, absl::UnavailableError("no answer")});
  }
  for (InstanceStatus& row : rows) {
    http::CallOptions options;
    options.timeout = kStatusTimeout;
    options.on_done = [&row,
                       &pending](absl::StatusOr<http::Response> response) {
      --pending;
      if (!response.ok()) {
        row.status = response.status();
      } else if (response->status != 200) {
        row.status = absl::PermissionDeniedError(
            absl::StrCat("/status answered HTTP ", response->status));
      } else if (Json json = Json::parse(response->body, nullptr, false);
                 json.is_object()) {
        row.status = std::move(json);
      } else {
        row.status = absl::InternalError("/status is not a JSON object");
      }
    };
    calls.push_back(http_client.Send(
        row.instance.operator_address,
        {.path = "/status",
         .headers = {{"Authorization",
                      absl::StrCat("Bearer ", operator_token)}}},
        std::move(options)));
  }
  loop_.RunUntil([&] { return pending == 0; }, kAwaitLimit);
  return rows;
}

std::vector<std::string> Admin::PollInstances(const Versions& versions,
                                              const std::string& operator_token,
                                              std::set<std::string>& confirmed,
                                              bool& is_final) {
  auto listed = Await<std::vector<object_api::Instance>>(
      [&](auto done) { client_.Instances(std::move(done)); });
  if (!listed.ok()) {
    return {listed.status().ToString()};
  }
  std::erase_if(*listed, [](const object_api::Instance& instance) {
    return instance.state != object_api::InstanceState::kLive;
  });
  if (listed->empty()) {
    return {"the instance list has no live instance"};
  }
  // Instances never go back to an older version, so each is queried only until
  // it confirms.
  std::erase_if(*listed, [&](const object_api::Instance& instance) {
    return confirmed.contains(NameAndAddress(instance));
  });
  std::vector<std::string> unconfirmed;
  for (const InstanceStatus& row : ReadStatuses(*listed, operator_token)) {
    const std::string reason =
        row.status.ok() ? ReasonNotInEffect(*row.status, versions, is_final)
                        : row.status.status().ToString();
    if (reason.empty()) {
      confirmed.insert(NameAndAddress(row.instance));
    } else {
      unconfirmed.push_back(absl::StrCat(row.instance.instance, " ", reason));
    }
  }
  return unconfirmed;
}

ExitCode Admin::WaitForInstances(const Versions& versions,
                                 const WriteOptions& options) {
  if (!options.wait.has_value()) {
    return ExitCode::kDone;
  }
  const kernel::TimePoint deadline = loop_.clock().Now() + *options.wait;
  std::set<std::string> confirmed;
  std::vector<std::string> unconfirmed;
  bool is_final = false;
  while (true) {
    unconfirmed =
        PollInstances(versions, options.operator_token, confirmed, is_final);
    if (unconfirmed.empty()) {
      out_ << "in force at " << confirmed.size() << " instances\n";
      return ExitCode::kDone;
    }
    if (is_final || loop_.clock().Now() + kPollPeriod >= deadline) {
      break;
    }
    Pause(kPollPeriod);
  }
  err_ << "not in force everywhere:\n";
  for (const std::string& line : unconfirmed) {
    err_ << "  " << line << "\n";
  }
  return ExitCode::kNotInEffect;
}

ExitCode Admin::Get(const std::string& key) {
  if (!key.ends_with('/')) {
    const auto object = Read(key);
    if (!object.ok()) {
      return ReportFailure(absl::StrCat("cannot read ", key), object.status());
    }
    if (object->version == 0) {
      err_ << key << " does not exist\n";
      return ExitCode::kFailed;
    }
    out_ << "// " << key << " version " << object->version << "\n"
         << object->value << "\n";
    return ExitCode::kDone;
  }
  const auto listing = Await<object_api::Listing>(
      [&](auto done) { client_.List(key, std::move(done)); });
  if (!listing.ok()) {
    return ReportFailure(absl::StrCat("cannot list ", key), listing.status());
  }
  for (const object_api::Object& object : listing->objects) {
    out_ << "// " << object.key << " version " << object.version << "\n"
         << object.value << "\n";
  }
  return ExitCode::kDone;
}

ExitCode Admin::Status(const std::string& operator_token, bool as_json) {
  const auto instances = Await<std::vector<object_api::Instance>>(
      [&](auto done) { client_.Instances(std::move(done)); });
  if (!instances.ok()) {
    return ReportFailure("cannot read the instance list", instances.status());
  }
  bool is_complete = true;
  Json document = Json::array();
  for (const InstanceStatus& row : ReadStatuses(*instances, operator_token)) {
    const bool is_live = row.instance.state == object_api::InstanceState::kLive;
    Json line = {{"instance", row.instance.instance},
                 {"role", row.instance.role},
                 {"data_centre", row.instance.data_centre},
                 {"state", is_live ? "live" : "leaving"}};
    if (row.status.ok()) {
      line["revision"] = row.status->value("revision", uint64_t{0});
      line["rejected"] = row.status->value("rejected", Json::array());
    } else {
      line["error"] = row.status.status().ToString();
      is_complete = is_complete && !is_live;
    }
    document.push_back(std::move(line));
  }
  if (as_json) {
    out_ << document.dump(2) << "\n";
    return is_complete ? ExitCode::kDone : ExitCode::kFailed;
  }
  const auto print = [this](const auto& instance, const auto& role,
                            const auto& data_centre, const auto& state,
                            const auto& revision) {
    out_ << std::left << std::setw(24) << instance << std::setw(7) << role
         << std::setw(16) << data_centre << std::setw(9) << state << revision
         << "\n";
  };
  print("INSTANCE", "ROLE", "DATA CENTRE", "STATE", "REVISION");
  for (const Json& line : document) {
    print(line["instance"].get<std::string>(), line["role"].get<std::string>(),
          line["data_centre"].get<std::string>(),
          line["state"].get<std::string>(),
          line.contains("revision") ? line["revision"].dump()
                                    : line["error"].get<std::string>());
    for (const Json& row : line.value("rejected", Json::array())) {
      out_ << "  rejected " << row.value("key", "") << " version "
           << row.value("version", uint64_t{0}) << ", in force "
           << row.value("version_in_force", uint64_t{0}) << ": "
           << row.value("fault", "") << "\n";
    }
  }
  return is_complete ? ExitCode::kDone : ExitCode::kFailed;
}

}  // namespace jackdawshunt::cli
