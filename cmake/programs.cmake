# Packages and programs beyond the core. Each program is one folder under src/ with a main.cc;
# its other sources form a library that tests can link.
set(QUETZALVALE_LIBRARIES quetzalvale_protocol quetzalvale_runtime quetzalvale_core)

# Load generator. The package's sources but main.cc form the library that tests link.
file(GLOB load_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/load/*.cc)
list(REMOVE_ITEM load_sources ${CMAKE_SOURCE_DIR}/src/load/main.cc)
add_library(quetzalvale_load STATIC ${load_sources})
target_include_directories(quetzalvale_load PUBLIC ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(quetzalvale_load PUBLIC quetzalvale_protocol quetzalvale_runtime cpprest ssl crypto pthread)
add_executable(quetzalvale-load src/load/main.cc)
target_link_libraries(quetzalvale-load PRIVATE quetzalvale_load docopt)
quetzalvale_library(settings quetzalvale_protocol quetzalvale_core)
list(PREPEND QUETZALVALE_LIBRARIES quetzalvale_settings)
