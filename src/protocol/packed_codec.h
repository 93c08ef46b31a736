/// MessagePack form of the inner messages: the encoding that the system's own processes use. JSON
/// (codec.h) costs several times the processor time and bytes; it stays for calls made by hand.
#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <msgpack/object.hpp>
#include <msgpack/pack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "protocol/codec.h"

namespace quetzalvale {

/// One message in its packed form. A message is an array of its fields in the order of
/// VisitFields, so a field may only be added at the end: receivers skip what they do not know and
/// leave what is missing at its default.
struct PackedMessage {
  std::string bytes;
};

namespace packed_detail {

/// Appends what msgpack writes to a text.
struct TextStream {
  std::string& text;

  /// Named by msgpack.
  void write(const char* data, std::size_t size) {  // NOLINT(readability-identifier-naming)
    this->text.append(data, size);
  }
};

using Packer = msgpack::packer<TextStream>;

struct CountVisitor {
  std::uint32_t count = 0;

  template <typename T>
  void operator()(const char* /*name*/, const T& /*field*/) {
    ++this->count;
  }
};

void PackValue(Packer& packer, const std::string& value);
void PackValue(Packer& packer, const Incarnation& value);
void PackValue(Packer& packer, const Ticket& value);
void PackValue(Packer& packer, const TaskKey& value);

template <typename T>
void PackValue(Packer& packer, const T& value);
template <typename T>
void PackValue(Packer& packer, const std::optional<T>& value);
template <typename T>
void PackValue(Packer& packer, const std::vector<T>& values);
template <typename T>
void PackValue(Packer& packer, const std::map<std::string, T>& values);
template <typename T>
void PackValue(Packer& packer, const std::map<std::pair<std::string, std::string>, T>& values);

struct PackVisitor {
  Packer& packer;

  template <typename T>
  void operator()(const char* /*name*/, const T& field) {
    PackValue(this->packer, field);
  }
};

template <typename T>
void PackValue(Packer& packer, const T& value) {
  if constexpr (std::is_enum_v<T>) {
    packer.pack_int64(static_cast<std::int64_t>(value));
  } else if constexpr (codec_detail::IsDuration<T>::value) {
    packer.pack_int64(static_cast<std::int64_t>(value.count()));
  } else if constexpr (std::is_same_v<T, bool>) {
    value ? packer.pack_true() : packer.pack_false();
  } else if constexpr (std::is_floating_point_v<T>) {
    packer.pack_double(value);
  } else if constexpr (std::is_unsigned_v<T>) {
    packer.pack_uint64(value);
  } else if constexpr (std::is_integral_v<T>) {
    packer.pack_int64(value);
  } else {
    auto& fields = const_cast<T&>(value);
    CountVisitor counter;
    VisitFields(counter, fields);
    packer.pack_array(counter.count);
    PackVisitor visitor{packer};
    VisitFields(visitor, fields);
  }
}

template <typename T>
void PackValue(Packer& packer, const std::optional<T>& value) {
  if (value) {
    PackValue(packer, *value);
  } else {
    packer.pack_nil();
  }
}

template <typename T>
void PackValue(Packer& packer, const std::vector<T>& values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto& value : values) {
    PackValue(packer, value);
  }
}

template <typename T>
void PackValue(Packer& packer, const std::map<std::string, T>& values) {
  packer.pack_map(static_cast<std::uint32_t>(values.size()));
  for (const auto& [name, value] : values) {
    PackValue(packer, name);
    PackValue(packer, value);
  }
}

template <typename T>
void PackValue(Packer& packer, const std::map<std::pair<std::string, std::string>, T>& values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto& [names, value] : values) {
    packer.pack_array(3);
    PackValue(packer, names.first);
    PackValue(packer, names.second);
    PackValue(packer, value);
  }
}

/// The elements of an array. Throws std::invalid_argument for anything else.
msgpack::object_array ReadArray(const msgpack::object& from, const FieldPath& path);
/// The same, for an array of exactly `size` elements.
msgpack::object_array ReadArray(const msgpack::object& from, const FieldPath& path,
                                std::uint32_t size);
std::int64_t ReadInteger(const msgpack::object& from, const FieldPath& path, std::int64_t lowest,
                         std::int64_t highest);
std::uint64_t ReadUnsigned(const msgpack::object& from, const FieldPath& path);
double ReadDouble(const msgpack::object& from, const FieldPath& path);
bool ReadBool(const msgpack::object& from, const FieldPath& path);
std::string ReadString(const msgpack::object& from, const FieldPath& path);

void UnpackValue(const msgpack::object& from, const FieldPath& path, Incarnation& value);
void UnpackValue(const msgpack::object& from, const FieldPath& path, Ticket& value);
void UnpackValue(const msgpack::object& from, const FieldPath& path, TaskKey& value);

template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path, T& value);
template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path, std::optional<T>& value);
template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path, std::vector<T>& values);
template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path,
                 std::map<std::string, T>& values);
template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path,
                 std::map<std::pair<std::string, std::string>, T>& values);

struct UnpackVisitor {
  const msgpack::object_array& fields;
  const FieldPath& path;
  std::uint32_t next = 0;

  template <typename T>
  void operator()(const char* name, T& field) {
    if (this->next < this->fields.size) {
      UnpackValue(this->fields.ptr[this->next], FieldPath(this->path, name), field);
    }
    ++this->next;
  }
};

template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path, T& value) {
  if constexpr (std::is_enum_v<T>) {
    value = static_cast<T>(ReadInteger(from, path, 0, codec_detail::kEnumCount<T> - 1));
  } else if constexpr (codec_detail::IsDuration<T>::value) {
    constexpr std::int64_t kLongest =
        std::chrono::duration_cast<T>(codec_detail::kLongestDuration).count();
    value = T(ReadInteger(from, path, -kLongest, kLongest));
  } else if constexpr (std::is_same_v<T, bool>) {
    value = ReadBool(from, path);
  } else if constexpr (std::is_same_v<T, std::string>) {
    value = ReadString(from, path);
  } else if constexpr (std::is_floating_point_v<T>) {
    value = ReadDouble(from, path);
  } else if constexpr (std::is_same_v<T, std::uint64_t>) {
    value = ReadUnsigned(from, path);
  } else if constexpr (std::is_integral_v<T>) {
    value = static_cast<T>(
        ReadInteger(from, path, std::numeric_limits<T>::min(), std::numeric_limits<T>::max()));
  } else {
    const msgpack::object_array fields = ReadArray(from, path);
    UnpackVisitor visitor{fields, path};
    VisitFields(visitor, value);
  }
}

template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path, std::optional<T>& value) {
  value.reset();
  if (!from.is_nil()) {
    UnpackValue(from, path, value.emplace());
  }
}

template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path, std::vector<T>& values) {
  const msgpack::object_array elements = ReadArray(from, path);
  values.clear();
  values.reserve(elements.size);
  for (std::uint32_t index = 0; index < elements.size; ++index) {
    UnpackValue(elements.ptr[index], FieldPath(path, std::size_t{index}), values.emplace_back());
  }
}

template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path,
                 std::map<std::string, T>& values) {
  if (from.type != msgpack::type::MAP) {
    codec_detail::ThrowMalformed(path, "a map");
  }
  values.clear();
  for (std::uint32_t index = 0; index < from.via.map.size; ++index) {
    const auto& member = from.via.map.ptr[index];
    const std::string name = ReadString(member.key, path);
    UnpackValue(member.val, FieldPath(path, name), values[name]);
  }
}

template <typename T>
void UnpackValue(const msgpack::object& from, const FieldPath& path,
                 std::map<std::pair<std::string, std::string>, T>& values) {
  const msgpack::object_array rows = ReadArray(from, path);
  values.clear();
  for (std::uint32_t index = 0; index < rows.size; ++index) {
    const FieldPath row_path(path, std::size_t{index});
    const msgpack::object_array row = ReadArray(rows.ptr[index], row_path, 3);
    const std::pair names(ReadString(row.ptr[0], row_path), ReadString(row.ptr[1], row_path));
    UnpackValue(row.ptr[2], row_path, values[names]);
  }
}

/// Keeps the values of a parsed message, which refer to its bytes.
class Parsed {
 public:
  /// Throws std::invalid_argument for bytes that are not one MessagePack value. `bytes` must
  /// outlive the object.
  explicit Parsed(std::string_view bytes);
  ~Parsed();
  Parsed(const Parsed&) = delete;
  Parsed& operator=(const Parsed&) = delete;

  const msgpack::object& Root() const;

 private:
  std::unique_ptr<msgpack::object_handle> handle;
};

}  // namespace packed_detail

/// Returns the packed form of the message.
template <typename T>
PackedMessage Pack(const T& message) {
  PackedMessage packed;
  packed_detail::TextStream stream{packed.bytes};
  packed_detail::Packer packer(stream);
  packed_detail::PackValue(packer, message);
  return packed;
}

/// Decodes a whole message. Throws std::invalid_argument that names the field at fault.
template <typename T>
T Unpack(std::string_view bytes) {
  const packed_detail::Parsed parsed(bytes);
  T message;
  packed_detail::UnpackValue(parsed.Root(), FieldPath("message"), message);
  return message;
}

}  // namespace quetzalvale
