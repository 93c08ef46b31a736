target_link_libraries(clients_test PRIVATE quetzalvale_scenario quetzalvale_platform)
target_compile_definitions(clients_test PRIVATE PROGRAMS="${CMAKE_BINARY_DIR}")
add_dependencies(clients_test quetzalvale-platform-entry quetzalvale-platform-agent)
