target_link_libraries(load_test PRIVATE quetzalvale_load)
target_compile_definitions(load_test PRIVATE WORKLOADS_DIRECTORY="${CMAKE_SOURCE_DIR}/workloads")
# cpprestsdk's macro U collides with a template parameter of GoogleTest.
target_compile_definitions(load_test PRIVATE _TURN_OFF_PLATFORM_STRING)
