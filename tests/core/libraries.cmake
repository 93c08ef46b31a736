# The simulation is shared by several tests.
target_sources(core_test PRIVATE ${CMAKE_SOURCE_DIR}/tests/core/simulation.cc)
find_package(rapidcheck REQUIRED)
target_link_libraries(core_test PRIVATE rapidcheck)
