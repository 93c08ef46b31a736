/// JSON values in Lua.
// null is the light userdata that the scripts know as `null`. An empty table is an object unless
// it was made by `array{}`.
#pragma once

#include <json/value.h>

#include <lua.hpp>

namespace quetzalvale {

/// Name of the metatable that marks arrays.
inline constexpr char kLuaArray[] = "quetzalvale.array";

/// Pushes the value.
void PushJson(lua_State* lua, const Json::Value& value);

/// Converts the value at the index. Throws std::invalid_argument for values that JSON does not
/// have.
Json::Value ToJson(lua_State* lua, int index);

}  // namespace quetzalvale
