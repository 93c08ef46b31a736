/// Runs a Lua script that drives a ScenarioHost.
#pragma once

#include <json/value.h>

#include <functional>
#include <string>

#include "core/result.h"

struct lua_State;

namespace quetzalvale {

/// One Lua state. Host functions take their arguments as a JSON array and return JSON, so that no
/// C++ object is alive when Lua leaves a function by longjmp. Belongs to one thread.
class LuaScript {
 public:
  /// Throws std::exception on failure, which becomes a Lua error at the call.
  using HostFunction = std::function<Json::Value(const Json::Value& arguments)>;

  /// `require` finds modules in `module_folder`.
  explicit LuaScript(const std::string& module_folder);
  ~LuaScript();
  LuaScript(const LuaScript&) = delete;
  LuaScript& operator=(const LuaScript&) = delete;

  /// Makes the function known to scripts as `host.NAME`.
  void Register(const std::string& name, HostFunction function);

  /// Runs the file. The error's message has the script's position and a traceback.
  Status Run(const std::string& file);

 private:
  static int CallHostFunction(lua_State* lua);

  lua_State* lua;
};

}  // namespace quetzalvale
