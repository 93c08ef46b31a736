#include "scenario/lua_script.h"

#include <exception>
#include <lua.hpp>
#include <new>
#include <stdexcept>
#include <utility>

#include "scenario/lua_json.h"

namespace quetzalvale {
namespace {

constexpr char kHostFunction[] = "quetzalvale.host_function";

using HostFunction = LuaScript::HostFunction;

int DestroyHostFunction(lua_State* lua) {
  static_cast<HostFunction*>(lua_touserdata(lua, 1))->~HostFunction();
  return 0;
}

int AddTraceback(lua_State* lua) {
  const char* message = lua_tostring(lua, 1);
  luaL_traceback(lua, lua, message == nullptr ? "error without a message" : message, 1);
  return 1;
}

/// Marks its table argument as a JSON array and returns it.
int MarkArray(lua_State* lua) {
  luaL_checktype(lua, 1, LUA_TTABLE);
  lua_settop(lua, 1);
  luaL_setmetatable(lua, kLuaArray);
  return 1;
}

/// Pushes the result or the error message. Returns whether the function succeeded.
bool CallAndPush(lua_State* lua, const HostFunction& function) {
  try {
    Json::Value arguments(Json::arrayValue);
    for (int position = 1; position <= lua_gettop(lua); ++position) {
      arguments.append(ToJson(lua, position));
    }
    const Json::Value result = function(arguments);
    if (result.isNull()) {
      lua_pushnil(lua);
    } else {
      PushJson(lua, result);
    }
    return true;
  } catch (const std::exception& error) {
    lua_pushstring(lua, error.what());
    return false;
  }
}

}  // namespace

LuaScript::LuaScript(const std::string& module_folder) : lua(luaL_newstate()) {
  luaL_openlibs(this->lua);
  lua_getglobal(this->lua, "package");
  lua_pushstring(this->lua, (module_folder + "/?.lua").c_str());
  lua_setfield(this->lua, -2, "path");
  lua_pop(this->lua, 1);
  luaL_newmetatable(this->lua, kLuaArray);
  luaL_newmetatable(this->lua, kHostFunction);
  lua_pushcfunction(this->lua, DestroyHostFunction);
  lua_setfield(this->lua, -2, "__gc");
  lua_pop(this->lua, 2);
  lua_newtable(this->lua);
  lua_setglobal(this->lua, "host");
  lua_pushlightuserdata(this->lua, nullptr);
  lua_setglobal(this->lua, "null");
  lua_pushcfunction(this->lua, MarkArray);
  lua_setglobal(this->lua, "array");
}

LuaScript::~LuaScript() { lua_close(this->lua); }

void LuaScript::Register(const std::string& name, HostFunction function) {
  lua_getglobal(this->lua, "host");
  new (lua_newuserdata(this->lua, sizeof(HostFunction))) HostFunction(std::move(function));
  luaL_setmetatable(this->lua, kHostFunction);
  lua_pushcclosure(this->lua, &LuaScript::CallHostFunction, 1);
  lua_setfield(this->lua, -2, name.c_str());
  lua_pop(this->lua, 1);
}

Status LuaScript::Run(const std::string& file) {
  lua_pushcfunction(this->lua, AddTraceback);
  const bool failed =
      luaL_loadfile(this->lua, file.c_str()) != LUA_OK || lua_pcall(this->lua, 0, 0, -2) != LUA_OK;
  Status status;
  if (failed) {
    status = Error{ErrorKind::kInternal, lua_tostring(this->lua, -1)};
  }
  lua_settop(this->lua, 0);
  return status;
}

int LuaScript::CallHostFunction(lua_State* lua) {
  const auto* function = static_cast<HostFunction*>(lua_touserdata(lua, lua_upvalueindex(1)));
  if (CallAndPush(lua, *function)) {
    return 1;
  }
  luaL_where(lua, 1);
  lua_insert(lua, -2);
  lua_concat(lua, 2);
  return lua_error(lua);
}

}  // namespace quetzalvale
