# The packages of the entry and the agent, and the adapter to the users' platform with its programs.
quetzalvale_library(settings quetzalvale_protocol quetzalvale_core)

quetzalvale_library(store quetzalvale_http quetzalvale_protocol)
quetzalvale_library(entry quetzalvale_store quetzalvale_settings quetzalvale_protocol xxhash)
quetzalvale_library(agent quetzalvale_http quetzalvale_settings quetzalvale_protocol quetzalvale_core)

file(GLOB adapter_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cc)
list(FILTER adapter_sources EXCLUDE REGEX "_main\\.cc$")
add_library(quetzalvale_platform STATIC ${adapter_sources})
target_include_directories(quetzalvale_platform PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(quetzalvale_platform PUBLIC quetzalvale_entry quetzalvale_agent crypto docopt)
foreach(role entry agent)
  add_executable(quetzalvale-platform-${role} platform/${role}_main.cc)
  target_link_libraries(quetzalvale-platform-${role} PRIVATE quetzalvale_platform)
endforeach()
