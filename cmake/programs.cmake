# Packages and programs beyond the core. Each program is one folder under src/ with a main.cc;
# its other sources form a library that tests can link.
set(QUETZALVALE_LIBRARIES quetzalvale_settings quetzalvale_protocol quetzalvale_runtime quetzalvale_core)

# Load generator.
quetzalvale_library(load quetzalvale_http quetzalvale_protocol quetzalvale_runtime)
add_executable(quetzalvale-load src/load/main.cc)
target_link_libraries(quetzalvale-load PRIVATE quetzalvale_load docopt)

# The operators' Python library.
find_package(Python3 3.10 REQUIRED COMPONENTS Interpreter)
add_test(NAME operator COMMAND ${Python3_EXECUTABLE} -B tests/operator/quetzalvale_test.py
         WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
add_test(NAME lint_key COMMAND ${Python3_EXECUTABLE} -B tests/scripts/lint_key_test.py
         WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
add_test(NAME docs COMMAND ${Python3_EXECUTABLE} -B tests/docs/events_test.py
         WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})

# The operators' command line.
quetzalvale_library(ctl quetzalvale_settings quetzalvale_http quetzalvale_protocol quetzalvale_runtime)
add_executable(quetzalvale-ctl src/ctl/main.cc)
target_link_libraries(quetzalvale-ctl PRIVATE quetzalvale_ctl docopt)
list(PREPEND QUETZALVALE_LIBRARIES quetzalvale_ctl)

# The test harness for whole processes. scenarios/*.lua, except the common part lib.lua and the
# demonstration, are tests.
find_path(LUA_INCLUDE lua.hpp PATH_SUFFIXES lua5.4 REQUIRED)
quetzalvale_library(scenario quetzalvale_load quetzalvale_http quetzalvale_protocol quetzalvale_runtime lua5.4 crypto)
target_include_directories(quetzalvale_scenario SYSTEM PUBLIC ${LUA_INCLUDE})
add_executable(quetzalvale-scenario src/scenario/main.cc)
target_link_libraries(quetzalvale-scenario PRIVATE quetzalvale_scenario docopt)
list(PREPEND QUETZALVALE_LIBRARIES quetzalvale_scenario)

# The platform, its stand-in and the entry.
add_library(quetzalvale_standin_platform STATIC src/standin/platform_delay.cc src/standin/platform_faults.cc
            src/standin/platform_server.cc src/standin/platform_store.cc)
target_link_libraries(quetzalvale_standin_platform PUBLIC quetzalvale_store)
add_executable(standin-platform src/standin/platform_main.cc)
target_link_libraries(standin-platform PRIVATE quetzalvale_standin_platform docopt)

add_executable(quetzalvale-entry src/entry/main.cc)
target_link_libraries(quetzalvale-entry PRIVATE quetzalvale_entry docopt)

add_executable(quetzalvale-agent src/agent/main.cc)
target_link_libraries(quetzalvale-agent PRIVATE quetzalvale_agent docopt)

add_library(quetzalvale_standin_endpoint STATIC src/standin/endpoint_control.cc src/standin/endpoint_journal.cc
            src/standin/endpoint_server.cc src/standin/endpoint_worker.cc)
target_link_libraries(quetzalvale_standin_endpoint PUBLIC quetzalvale_http quetzalvale_protocol)
add_executable(standin-endpoint src/standin/endpoint_main.cc)
target_link_libraries(standin-endpoint PRIVATE quetzalvale_standin_endpoint docopt)
