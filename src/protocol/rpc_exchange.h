/// One inner call as its handler sees it, whichever encoding the caller chose.
#pragma once

#include <json/value.h>

#include <functional>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <variant>

#include "core/result.h"
#include "protocol/codec.h"
#include "protocol/packed_codec.h"

namespace quetzalvale {

/// Parameters or result of a call, encoded.
using RpcValue = std::variant<Json::Value, PackedMessage>;

/// Parameters of a call. Refers to the request, so it is valid only while the handler runs.
class RpcParameters {
 public:
  static RpcParameters OfJson(const Json::Value& json) {
    RpcParameters parameters;
    parameters.json = &json;
    return parameters;
  }

  static RpcParameters OfPacked(std::string_view bytes) {
    RpcParameters parameters;
    parameters.packed = bytes;
    return parameters;
  }

  /// Throws std::invalid_argument that names the field at fault.
  template <typename Message>
  Message Read() const {
    return this->json != nullptr ? Decode<Message>(*this->json) : Unpack<Message>(this->packed);
  }

  /// For calls whose parameters are no message. Throws std::invalid_argument when the caller packed
  /// them.
  const Json::Value& Json() const {
    if (this->json == nullptr) {
      throw std::invalid_argument("this call takes JSON; use JSON-RPC 2.0");
    }
    return *this->json;
  }

 private:
  RpcParameters() = default;

  const Json::Value* json = nullptr;
  std::string_view packed;
};

/// Gives the reply to one call, in the encoding of its caller. To be used once, from any thread.
class RpcResponder {
 public:
  /// Receives the encoded reply.
  using Give = std::function<void(Result<RpcValue>)>;

  RpcResponder() = default;
  RpcResponder(bool packed, Give give) : packed(packed), give(std::move(give)) {}

  template <typename Message>
  void Reply(const Message& message) const {
    this->give(this->packed ? RpcValue(Pack(message)) : RpcValue(Encode(message)));
  }

  /// For calls whose result is no message. Precondition: the caller did not pack its parameters.
  void ReplyJson(Json::Value result) const { this->give(RpcValue(std::move(result))); }

  void Refuse(Error error) const { this->give(std::move(error)); }

 private:
  bool packed = false;
  Give give;
};

}  // namespace quetzalvale
