# Every script in scenarios/ is a test, except the common part and the demonstration. Included after
# all programs, because the scripts need them.
if(TARGET quetzalvale-entry AND TARGET quetzalvale-agent AND TARGET standin-platform AND TARGET standin-endpoint)
  file(GLOB scripts CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/scenarios/*.lua)
  list(FILTER scripts EXCLUDE REGEX "/(lib|demo)\\.lua$")
  foreach(script ${scripts})
    get_filename_component(scenario ${script} NAME_WE)
    add_test(NAME scenario_${scenario} COMMAND quetzalvale-scenario ${script} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    # A scenario starts about ten processes; the timeout is generous for busy machines.
    set_tests_properties(scenario_${scenario} PROPERTIES LABELS scenario TIMEOUT 300 PROCESSORS 3)
  endforeach()
endif()
