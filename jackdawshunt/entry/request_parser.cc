#include "jackdawshunt/entry/request_parser.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/json_depth.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::entry {
namespace {

using base::ErrorKind;
using base::MakeError;
using nlohmann::json;

constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr size_t kMaxIdempotencyKeyBytes = 255;

std::optional<int64_t> ParseIndex(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 ||
      value >= INT64_MAX) {
    return std::nullopt;
  }
  return value;
}

// Returns the number of tokens that the caller already has, from Last-Event-ID.
absl::StatusOr<int64_t> ParseResumeOffset(const http::Request& request) {
  const std::string_view last =
      http::FindHeader(request.headers, "Last-Event-ID");
  if (last.empty()) {
    return 0;
  }
  const std::optional<int64_t> index = ParseIndex(last);
  if (!index) {
    return MakeError(ErrorKind::kBadRequest,
                     "Last-Event-ID: must be the index of a token");
  }
  return *index + 1;
}

bool Contains(const std::vector<std::string>& list, std::string_view item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// Checks "name" or "name@version" and returns the name under which sides serve
// the model: without a suffix for the default version.
absl::StatusOr<std::string> ResolveModel(
    std::string_view text,
    const records::Workspace& workspace,
    const configuration::Snapshot& snapshot) {
  const size_t at = text.find('@');
  const std::string name(text.substr(0, at));
  const auto allowed = workspace.models.find(name);
  if (allowed == workspace.models.end()) {
    return MakeError(ErrorKind::kModelNotAllowed,
                     "model \"" + name + "\" is not allowed");
  }
  const auto model = snapshot.models.find(name);
  if (model == snapshot.models.end() || model->second.is_service) {
    return MakeError(ErrorKind::kNotFound, "no model \"" + name + "\"");
  }
  const std::string version(
      at == std::string_view::npos
          ? std::string_view(model->second.default_version)
          : text.substr(at + 1));
  if (at != std::string_view::npos &&
      !Contains(model->second.versions, version)) {
    return MakeError(
        ErrorKind::kNotFound,
        "model \"" + name + "\" has no version \"" + version + "\"");
  }
  if (!allowed->second.empty() && !Contains(allowed->second, version)) {
    return MakeError(
        ErrorKind::kModelNotAllowed,
        "version \"" + version + "\" of model \"" + name + "\" is not allowed");
  }
  return version == model->second.default_version ? name : name + "@" + version;
}

absl::Status CheckBody(const json& body) {
  if (!body.is_object()) {
    return MakeError(ErrorKind::kBadRequest, "the body must be a JSON object");
  }
  if (!base::NestsAtMost(body, base::kMaxJsonDepth)) {
    return MakeError(ErrorKind::kBadRequest,
                     absl::StrCat("the body must not nest deeper than ",
                                  base::kMaxJsonDepth, " levels"));
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return MakeError(ErrorKind::kBadRequest, "/model: must be a string");
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    return MakeError(ErrorKind::kBadRequest,
                     "/messages: must be a non-empty array");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return MakeError(ErrorKind::kBadRequest, "/stream: must be a boolean");
  }
  if (body.contains("max_tokens") && (!body["max_tokens"].is_number_integer() ||
                                      body["max_tokens"].get<int64_t>() < 1)) {
    return MakeError(ErrorKind::kBadRequest,
                     "/max_tokens: must be a positive integer");
  }
  return absl::OkStatus();
}

// Returns whether the route with the longest matching prefix is repeatable;
// false without a match.
bool IsRepeatable(const records::Model& service,
                  std::string_view method,
                  std::string_view path) {
  const records::Model::Route* best = nullptr;
  for (const records::Model::Route& route : service.routes) {
    if (route.method == method && path.starts_with(route.path_prefix) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best != nullptr && best->repeatable;
}

absl::Status SetIdempotencyKey(const http::Request& request, Submit& submit) {
  const std::string_view key =
      http::FindHeader(request.headers, "Idempotency-Key");
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return MakeError(ErrorKind::kBadRequest,
                     "Idempotency-Key: must be at most 255 bytes");
  }
  if (!submit.repeatable) {
    submit.idempotency_key = std::string(key);
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<const records::Workspace*> Authenticate(
    const http::Request& request,
    const configuration::Snapshot& snapshot) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view header =
      http::FindHeader(request.headers, "Authorization");
  const records::Workspace* workspace =
      header.starts_with(kBearer)
          ? snapshot.FindWorkspaceByToken(header.substr(kBearer.size()))
          : nullptr;
  if (workspace == nullptr) {
    return MakeError(ErrorKind::kUnauthenticated,
                     "Authorization: must be a bearer token of a workspace");
  }
  return workspace;
}

absl::StatusOr<Submit> ParseCompletion(
    const http::Request& request,
    const configuration::Snapshot& snapshot) {
  const auto workspace = Authenticate(request, snapshot);
  if (!workspace.ok()) {
    return workspace.status();
  }
  const json body = json::parse(request.body, nullptr, false);
  if (absl::Status status = CheckBody(body); !status.ok()) {
    return status;
  }
  auto model = ResolveModel(body["model"].get_ref<const std::string&>(),
                            **workspace, snapshot);
  if (!model.ok()) {
    return model.status();
  }
  const absl::StatusOr<int64_t> resume_offset = ParseResumeOffset(request);
  if (!resume_offset.ok()) {
    return resume_offset.status();
  }
  Submit submit{.workspace = (*workspace)->name,
                .model = *std::move(model),
                .is_stream = body.value("stream", false),
                .method = request.method,
                .content_type = "application/json",
                .body = request.body};
  submit.max_tokens =
      body.value("max_tokens", snapshot.policy.default_max_tokens);
  submit.resume_tokens = *resume_offset;
  return submit;
}

absl::StatusOr<Submit> ParseServiceCall(
    const http::Request& request,
    const configuration::Snapshot& snapshot) {
  const auto workspace = Authenticate(request, snapshot);
  if (!workspace.ok()) {
    return workspace.status();
  }
  const std::string_view rest =
      std::string_view(request.path).substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  const std::string name(rest.substr(0, slash));
  if (!(*workspace)->models.contains(name)) {
    return MakeError(ErrorKind::kModelNotAllowed,
                     "service \"" + name + "\" is not allowed");
  }
  const auto service = snapshot.models.find(name);
  if (service == snapshot.models.end() || !service->second.is_service) {
    return MakeError(ErrorKind::kNotFound, "no service \"" + name + "\"");
  }
  const std::string path(slash == std::string_view::npos ? "/"
                                                         : rest.substr(slash));
  Submit submit{
      .workspace = (*workspace)->name,
      .model = name,
      .kind = protocol::StartKind::kService,
      .repeatable = IsRepeatable(service->second, request.method, path),
      .method = request.method,
      .path = request.query.empty() ? path : path + "?" + request.query,
      .content_type =
          std::string(http::FindHeader(request.headers, "Content-Type")),
      .body = request.body};
  if (absl::Status status = SetIdempotencyKey(request, submit); !status.ok()) {
    return status;
  }
  return submit;
}

absl::StatusOr<ResumeStream> ParseResumeStream(
    const http::Request& request,
    const configuration::Snapshot& snapshot) {
  const auto workspace = Authenticate(request, snapshot);
  if (!workspace.ok()) {
    return workspace.status();
  }
  const std::string_view id =
      std::string_view(request.path).substr(kStreamsPath.size());
  const size_t dot = id.find('.');
  if (dot == 0 || dot == std::string_view::npos || dot + 1 == id.size()) {
    return MakeError(ErrorKind::kNotFound, "no such stream");
  }
  const absl::StatusOr<int64_t> resume_offset = ParseResumeOffset(request);
  if (!resume_offset.ok()) {
    return resume_offset.status();
  }
  return ResumeStream{.request = std::string(id.substr(0, dot)),
                      .side = std::string(id.substr(dot + 1)),
                      .workspace = (*workspace)->name,
                      .offset = *resume_offset};
}

}  // namespace jackdawshunt::entry
