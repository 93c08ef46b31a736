/// JSON form of the inner messages.
#pragma once

#include <json/value.h>

#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "protocol/fields.h"

namespace quetzalvale {

/// Place of a value in a message, for the text of an error. A list of its parts, because decoding
/// names thousands of fields for each one that is malformed.
class FieldPath {
 public:
  /// `name` and `parent` must outlive the object.
  explicit FieldPath(std::string_view name) : name(name) {}
  FieldPath(const FieldPath& parent, std::string_view name) : parent(&parent), name(name) {}
  FieldPath(const FieldPath& parent, std::size_t index) : parent(&parent), index(index) {}

  /// Such as `message.items[2].kind`.
  std::string Text() const;

 private:
  const FieldPath* parent = nullptr;
  /// Empty for the element of an array.
  std::string_view name;
  std::size_t index = 0;
};

template <typename T>
Json::Value Encode(const T& value);

/// Fills `value` from `json`. Throws std::invalid_argument that names the field at fault.
template <typename T>
void DecodeInto(const Json::Value& json, const FieldPath& path, T& value);

/// Decodes a whole message. Throws std::invalid_argument that names the field at fault.
template <typename T>
T Decode(const Json::Value& json) {
  T value;
  DecodeInto(json, FieldPath("message"), value);
  return value;
}

namespace codec_detail {

/// Far above every limit of the settings, and far below what overflows when it is added to a time.
inline constexpr std::chrono::years kLongestDuration(10);

[[noreturn]] void ThrowMalformed(const FieldPath& path, const char* expected);

std::int64_t ReadInteger(const Json::Value& json, const FieldPath& path, std::int64_t lowest,
                         std::int64_t highest);
std::uint64_t ReadUnsigned(const Json::Value& json, const FieldPath& path);
double ReadDouble(const Json::Value& json, const FieldPath& path);
bool ReadBool(const Json::Value& json, const FieldPath& path);
std::string ReadString(const Json::Value& json, const FieldPath& path);
/// Returns the names of an object's members.
std::vector<std::string> ReadNames(const Json::Value& json, const FieldPath& path);

/// Number of members of a message enum, to refuse numbers outside it.
template <typename T>
constexpr int kEnumCount = 0;
template <>
inline constexpr int kEnumCount<StartRefusal> = static_cast<int>(StartRefusal::kEvacuated) + 1;
template <>
inline constexpr int kEnumCount<TaskStatus> = static_cast<int>(TaskStatus::kNotRun) + 1;
template <>
inline constexpr int kEnumCount<AnswerStatus> = static_cast<int>(AnswerStatus::kRefused) + 1;
template <>
inline constexpr int kEnumCount<ErrorKind> = static_cast<int>(ErrorKind::kInternal) + 1;

template <typename T>
concept HasTextForm = requires(const T& value, std::string_view text) {
  value.Text();
  T::Parse(text);
};

template <typename T>
struct IsDuration : std::false_type {};
template <typename R, typename P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};

struct EncodeVisitor {
  Json::Value& json;

  template <typename T>
  void operator()(const char* name, const T& field) {
    // The names are literals, which the value need not copy.
    this->json[Json::StaticString(name)] = Encode(field);
  }
};

struct DecodeVisitor {
  const Json::Value& json;
  const FieldPath& path;

  template <typename T>
  void operator()(const char* name, T& field) {
    DecodeInto(this->json[name], FieldPath(this->path, name), field);
  }
};

template <typename T>
Json::Value EncodeValue(const T& value) {
  if constexpr (HasTextForm<T>) {
    return value.Text();
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<int>(value);
  } else if constexpr (IsDuration<T>::value) {
    return static_cast<Json::Int64>(value.count());
  } else if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::string> ||
                       std::is_floating_point_v<T>) {
    return value;
  } else if constexpr (std::is_unsigned_v<T>) {
    return static_cast<Json::UInt64>(value);
  } else if constexpr (std::is_integral_v<T>) {
    return static_cast<Json::Int64>(value);
  } else {
    Json::Value json(Json::objectValue);
    EncodeVisitor visitor{json};
    VisitFields(visitor, const_cast<T&>(value));
    return json;
  }
}

template <typename T>
Json::Value EncodeValue(const std::optional<T>& value) {
  return value ? Encode(*value) : Json::Value();
}

template <typename T>
Json::Value EncodeValue(const std::vector<T>& values) {
  Json::Value json(Json::arrayValue);
  for (const auto& value : values) {
    json.append(Encode(value));
  }
  return json;
}

template <typename T>
Json::Value EncodeValue(const std::map<std::string, T>& values) {
  Json::Value json(Json::objectValue);
  for (const auto& [name, value] : values) {
    json[name] = Encode(value);
  }
  return json;
}

template <typename T>
Json::Value EncodeValue(const std::map<std::pair<std::string, std::string>, T>& values) {
  Json::Value json(Json::objectValue);
  for (const auto& [names, value] : values) {
    json[names.first][names.second] = Encode(value);
  }
  return json;
}

template <typename T>
void DecodeValue(const Json::Value& json, const FieldPath& path, T& value) {
  if constexpr (HasTextForm<T>) {
    auto parsed = T::Parse(ReadString(json, path));
    if (!parsed) {
      ThrowMalformed(path, "an identity in its text form");
    }
    value = std::move(*parsed);
  } else if constexpr (std::is_enum_v<T>) {
    value = static_cast<T>(ReadInteger(json, path, 0, kEnumCount<T> - 1));
  } else if constexpr (IsDuration<T>::value) {
    constexpr std::int64_t kLongest = std::chrono::duration_cast<T>(kLongestDuration).count();
    value = T(ReadInteger(json, path, -kLongest, kLongest));
  } else if constexpr (std::is_same_v<T, bool>) {
    value = ReadBool(json, path);
  } else if constexpr (std::is_same_v<T, std::string>) {
    value = ReadString(json, path);
  } else if constexpr (std::is_floating_point_v<T>) {
    value = ReadDouble(json, path);
  } else if constexpr (std::is_same_v<T, std::uint64_t>) {
    value = ReadUnsigned(json, path);
  } else if constexpr (std::is_integral_v<T>) {
    value = static_cast<T>(
        ReadInteger(json, path, std::numeric_limits<T>::min(), std::numeric_limits<T>::max()));
  } else {
    if (!json.isObject()) {
      ThrowMalformed(path, "an object");
    }
    DecodeVisitor visitor{json, path};
    VisitFields(visitor, value);
  }
}

template <typename T>
void DecodeValue(const Json::Value& json, const FieldPath& path, std::optional<T>& value) {
  value.reset();
  if (!json.isNull()) {
    DecodeInto(json, path, value.emplace());
  }
}

template <typename T>
void DecodeValue(const Json::Value& json, const FieldPath& path, std::vector<T>& values) {
  if (!json.isArray()) {
    ThrowMalformed(path, "an array");
  }
  values.clear();
  values.reserve(json.size());
  for (const auto& element : json) {
    const FieldPath element_path(path, values.size());
    DecodeInto(element, element_path, values.emplace_back());
  }
}

template <typename T>
void DecodeValue(const Json::Value& json, const FieldPath& path, std::map<std::string, T>& values) {
  values.clear();
  for (const auto& name : ReadNames(json, path)) {
    DecodeInto(json[name], FieldPath(path, name), values[name]);
  }
}

template <typename T>
void DecodeValue(const Json::Value& json, const FieldPath& path,
                 std::map<std::pair<std::string, std::string>, T>& values) {
  std::map<std::string, std::map<std::string, T>> nested;
  DecodeInto(json, path, nested);
  values.clear();
  for (const auto& [outer, inner] : nested) {
    for (const auto& [name, value] : inner) {
      values[{outer, name}] = value;
    }
  }
}

}  // namespace codec_detail

template <typename T>
Json::Value Encode(const T& value) {
  return codec_detail::EncodeValue(value);
}

template <typename T>
void DecodeInto(const Json::Value& json, const FieldPath& path, T& value) {
  codec_detail::DecodeValue(json, path, value);
}

/// Returns compact JSON text.
std::string WriteJson(const Json::Value& json);

/// Parses JSON text. The error says where the text is malformed.
Result<Json::Value> ReadJson(std::string_view text);

}  // namespace quetzalvale
