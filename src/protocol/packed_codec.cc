#include "protocol/packed_codec.h"

#include <msgpack/unpack.hpp>
#include <stdexcept>

#include "protocol/utf8.h"

namespace quetzalvale::packed_detail {
namespace {

constexpr std::uint32_t kIncarnationFields = 2;
constexpr std::uint32_t kTicketFields = 4;
constexpr std::uint32_t kTaskKeyFields = 2;

/// Bounds what a faulty peer's bytes can make this process allocate; the messages nest far less.
constexpr std::size_t kMaxDepth = 32;
constexpr std::size_t kMaxElements = 1U << 20U;
constexpr std::size_t kMaxTextBytes = 64U << 20U;

/// Texts refer to the message's bytes instead of being copied.
bool RefersToBytes(msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/) {
  return true;
}

}  // namespace

void PackValue(Packer& packer, const std::string& value) {
  packer.pack_str(static_cast<std::uint32_t>(value.size()));
  packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
}

void PackValue(Packer& packer, const Incarnation& value) {
  packer.pack_array(kIncarnationFields);
  packer.pack_uint64(value.high);
  packer.pack_uint64(value.low);
}

void PackValue(Packer& packer, const Ticket& value) {
  packer.pack_array(kTicketFields);
  PackValue(packer, value.service);
  PackValue(packer, value.owner);
  packer.pack_uint64(value.sequence);
  packer.pack_uint64(value.roster);
}

void PackValue(Packer& packer, const TaskKey& value) {
  packer.pack_array(kTaskKeyFields);
  PackValue(packer, value.ticket);
  packer.pack_uint64(value.index);
}

msgpack::object_array ReadArray(const msgpack::object& from, const FieldPath& path) {
  if (from.type != msgpack::type::ARRAY) {
    codec_detail::ThrowMalformed(path, "an array");
  }
  return from.via.array;
}

msgpack::object_array ReadArray(const msgpack::object& from, const FieldPath& path,
                                std::uint32_t size) {
  const msgpack::object_array array = ReadArray(from, path);
  if (array.size != size) {
    codec_detail::ThrowMalformed(path, "an array of the right length");
  }
  return array;
}

std::int64_t ReadInteger(const msgpack::object& from, const FieldPath& path, std::int64_t lowest,
                         std::int64_t highest) {
  const bool is_positive = from.type == msgpack::type::POSITIVE_INTEGER;
  if (!is_positive && from.type != msgpack::type::NEGATIVE_INTEGER) {
    codec_detail::ThrowMalformed(path, "an integer");
  }
  const bool too_large =
      is_positive &&
      from.via.u64 > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (too_large || from.via.i64 < lowest || from.via.i64 > highest) {
    codec_detail::ThrowMalformed(path, "an integer within its range");
  }
  return from.via.i64;
}

std::uint64_t ReadUnsigned(const msgpack::object& from, const FieldPath& path) {
  if (from.type != msgpack::type::POSITIVE_INTEGER) {
    codec_detail::ThrowMalformed(path, "a non-negative integer");
  }
  return from.via.u64;
}

double ReadDouble(const msgpack::object& from, const FieldPath& path) {
  // The library packs whole numbers as integers.
  switch (from.type) {
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<double>(from.via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return static_cast<double>(from.via.i64);
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      if (std::isfinite(from.via.f64)) {
        return from.via.f64;
      }
      break;
    default:
      break;
  }
  codec_detail::ThrowMalformed(path, "a finite number");
}

bool ReadBool(const msgpack::object& from, const FieldPath& path) {
  if (from.type != msgpack::type::BOOLEAN) {
    codec_detail::ThrowMalformed(path, "true or false");
  }
  return from.via.boolean;
}

std::string ReadString(const msgpack::object& from, const FieldPath& path) {
  if (from.type != msgpack::type::STR) {
    codec_detail::ThrowMalformed(path, "a string");
  }
  std::string text(from.via.str.ptr, from.via.str.size);
  if (!IsUtf8(text)) {
    codec_detail::ThrowMalformed(path, "a string in UTF-8");
  }
  return text;
}

void UnpackValue(const msgpack::object& from, const FieldPath& path, Incarnation& value) {
  const msgpack::object_array halves = ReadArray(from, path, kIncarnationFields);
  value.high = ReadUnsigned(halves.ptr[0], path);
  value.low = ReadUnsigned(halves.ptr[1], path);
}

void UnpackValue(const msgpack::object& from, const FieldPath& path, Ticket& value) {
  const msgpack::object_array fields = ReadArray(from, path, kTicketFields);
  value.service = ReadString(fields.ptr[0], path);
  if (value.service.empty()) {
    codec_detail::ThrowMalformed(path, "a ticket of a named service");
  }
  UnpackValue(fields.ptr[1], path, value.owner);
  value.sequence = ReadUnsigned(fields.ptr[2], path);
  value.roster = ReadUnsigned(fields.ptr[3], path);
}

void UnpackValue(const msgpack::object& from, const FieldPath& path, TaskKey& value) {
  const msgpack::object_array fields = ReadArray(from, path, kTaskKeyFields);
  UnpackValue(fields.ptr[0], path, value.ticket);
  value.index = static_cast<std::uint32_t>(ReadInteger(fields.ptr[1], path, 0, UINT32_MAX));
}

Parsed::Parsed(std::string_view bytes) {
  try {
    std::size_t read = 0;
    this->handle = std::make_unique<msgpack::object_handle>(msgpack::unpack(
        bytes.data(), bytes.size(), read, RefersToBytes, nullptr,
        msgpack::unpack_limit(kMaxElements, kMaxElements, kMaxTextBytes, 0, 0, kMaxDepth)));
    if (read != bytes.size()) {
      throw std::invalid_argument("message must be one value, but bytes follow it");
    }
  } catch (const msgpack::unpack_error& malformed) {
    throw std::invalid_argument(std::string("message must be in MessagePack: ") + malformed.what());
  }
}

Parsed::~Parsed() = default;

const msgpack::object& Parsed::Root() const { return this->handle->get(); }

}  // namespace quetzalvale::packed_detail
