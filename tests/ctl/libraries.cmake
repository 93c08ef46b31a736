target_compile_definitions(ctl_test PRIVATE QUETZALVALE_ROOT="${CMAKE_SOURCE_DIR}")
