# Packages and programs beyond the core. Each program is one folder under src/ with a main.cc;
# its other sources form a library that tests can link.
set(QUETZALVALE_LIBRARIES quetzalvale_protocol quetzalvale_runtime quetzalvale_core)

quetzalvale_library(settings quetzalvale_protocol quetzalvale_core)
list(PREPEND QUETZALVALE_LIBRARIES quetzalvale_settings)

quetzalvale_library(http cpprest ssl crypto)
quetzalvale_library(platform quetzalvale_http quetzalvale_protocol)
add_library(quetzalvale_standin_platform STATIC src/standin/platform_delay.cc src/standin/platform_faults.cc
            src/standin/platform_server.cc src/standin/platform_store.cc)
target_link_libraries(quetzalvale_standin_platform PUBLIC quetzalvale_platform)
add_executable(standin-platform src/standin/platform_main.cc)
target_link_libraries(standin-platform PRIVATE quetzalvale_standin_platform docopt)

quetzalvale_library(entry quetzalvale_platform quetzalvale_settings quetzalvale_protocol xxhash)
add_executable(quetzalvale-entry src/entry/main.cc)
target_link_libraries(quetzalvale-entry PRIVATE quetzalvale_entry docopt)

quetzalvale_library(agent quetzalvale_http quetzalvale_settings quetzalvale_protocol quetzalvale_core)
add_executable(quetzalvale-agent src/agent/main.cc)
target_link_libraries(quetzalvale-agent PRIVATE quetzalvale_agent docopt)

add_library(quetzalvale_standin_endpoint STATIC src/standin/endpoint_journal.cc
            src/standin/endpoint_server.cc src/standin/endpoint_worker.cc)
target_link_libraries(quetzalvale_standin_endpoint PUBLIC quetzalvale_http quetzalvale_protocol)
add_executable(standin-endpoint src/standin/endpoint_main.cc)
target_link_libraries(standin-endpoint PRIVATE quetzalvale_standin_endpoint docopt)
