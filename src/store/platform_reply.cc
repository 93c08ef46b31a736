#include "store/platform_reply.h"

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

PlatformFailure FailureOfStatus(int status) {
  constexpr int kConflict = 409;
  constexpr int kServerErrors = 500;
  constexpr int kUnavailable = 503;
  if (status == kConflict) {
    return PlatformFailure::kConflict;
  }
  // A server error other than 503 (such as 504) says nothing about whether the write took effect.
  const bool refused = status == kUnavailable || (status >= 400 && status < kServerErrors);
  return refused ? PlatformFailure::kRefused : PlatformFailure::kUnknown;
}

}  // namespace

bool IsNotFound(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  return response != nullptr && response->status == 404;
}

std::optional<PlatformError> FailureOf(const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    return PlatformError{
        failure->not_sent ? PlatformFailure::kNotConnected : PlatformFailure::kUnknown,
        failure->message};
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.status == 200) {
    return std::nullopt;
  }
  return PlatformError{FailureOfStatus(response.status),
                       "status " + std::to_string(response.status) + " " + response.body};
}

PlatformResult<Json::Value> InterpretReply(const HttpResult& result) {
  if (auto failure = FailureOf(result)) {
    return *std::move(failure);
  }
  auto json = ReadJson(std::get<HttpResponse>(result).body);
  if (!IsOk(json) || !std::get<Json::Value>(json).isObject()) {
    return PlatformError{PlatformFailure::kUnknown, "the platform's answer is not a JSON object"};
  }
  return std::get<Json::Value>(std::move(json));
}

}  // namespace quetzalvale
