/// The functions of a ScenarioHost as scripts see them.
#pragma once

#include <string>

#include "scenario/lua_script.h"
#include "scenario/scenario_host.h"

namespace quetzalvale {

/// Registers all host functions; scenarios/lib.lua makes the verbs of them. `root` is the folder
/// that read_json's paths are relative to. Precondition: `host` outlives `script`.
void RegisterHostFunctions(LuaScript& script, ScenarioHost& host, const std::string& root);

}  // namespace quetzalvale
