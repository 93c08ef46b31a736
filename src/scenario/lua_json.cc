#include "scenario/lua_json.h"

#include <stdexcept>
#include <string>

namespace quetzalvale {
namespace {

/// Deeper values are taken for tables that contain themselves.
constexpr int kMaximumDepth = 64;

Json::Value ToJsonAt(lua_State* lua, int index, int depth);

bool IsArray(lua_State* lua, int index) {
  if (lua_rawlen(lua, index) > 0) {
    return true;
  }
  if (lua_getmetatable(lua, index) == 0) {
    return false;
  }
  luaL_getmetatable(lua, kLuaArray);
  const bool marked = lua_rawequal(lua, -1, -2) != 0;
  lua_pop(lua, 2);
  return marked;
}

Json::Value ToArray(lua_State* lua, int index, int depth) {
  Json::Value array(Json::arrayValue);
  const auto length = static_cast<lua_Integer>(lua_rawlen(lua, index));
  for (lua_Integer position = 1; position <= length; ++position) {
    lua_rawgeti(lua, index, position);
    array.append(ToJsonAt(lua, lua_gettop(lua), depth + 1));
    lua_pop(lua, 1);
  }
  return array;
}

Json::Value ToObject(lua_State* lua, int index, int depth) {
  Json::Value object(Json::objectValue);
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    if (lua_type(lua, -2) != LUA_TSTRING) {
      throw std::invalid_argument("a JSON object needs strings as member names");
    }
    object[lua_tostring(lua, -2)] = ToJsonAt(lua, lua_gettop(lua), depth + 1);
    lua_pop(lua, 1);
  }
  return object;
}

Json::Value ToJsonAt(lua_State* lua, int index, int depth) {
  if (depth > kMaximumDepth) {
    throw std::invalid_argument("the table is nested too deeply for JSON");
  }
  switch (lua_type(lua, index)) {
    case LUA_TNIL:
    case LUA_TLIGHTUSERDATA:
      return Json::Value();
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index) != 0) {
        return static_cast<Json::Int64>(lua_tointeger(lua, index));
      }
      return lua_tonumber(lua, index);
    case LUA_TSTRING:
      return lua_tostring(lua, index);
    case LUA_TTABLE:
      luaL_checkstack(lua, 8, "JSON value");
      return IsArray(lua, index) ? ToArray(lua, index, depth) : ToObject(lua, index, depth);
    default:
      throw std::invalid_argument(std::string("JSON has no ") + luaL_typename(lua, index));
  }
}

}  // namespace

void PushJson(lua_State* lua, const Json::Value& value) {
  luaL_checkstack(lua, 8, "JSON value");
  switch (value.type()) {
    case Json::nullValue:
      lua_pushlightuserdata(lua, nullptr);
      break;
    case Json::booleanValue:
      lua_pushboolean(lua, value.asBool() ? 1 : 0);
      break;
    case Json::intValue:
    case Json::uintValue:
      lua_pushinteger(lua, static_cast<lua_Integer>(value.asLargestInt()));
      break;
    case Json::realValue:
      lua_pushnumber(lua, value.asDouble());
      break;
    case Json::stringValue:
      lua_pushstring(lua, value.asCString());
      break;
    case Json::arrayValue:
      lua_createtable(lua, static_cast<int>(value.size()), 0);
      for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
        PushJson(lua, value[i]);
        lua_rawseti(lua, -2, static_cast<lua_Integer>(i) + 1);
      }
      luaL_setmetatable(lua, kLuaArray);
      break;
    case Json::objectValue:
      lua_createtable(lua, 0, static_cast<int>(value.size()));
      for (const std::string& name : value.getMemberNames()) {
        PushJson(lua, value[name]);
        lua_setfield(lua, -2, name.c_str());
      }
      break;
  }
}

Json::Value ToJson(lua_State* lua, int index) { return ToJsonAt(lua, lua_absindex(lua, index), 0); }

}  // namespace quetzalvale
