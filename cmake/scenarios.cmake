# Every script in scenarios/ is a test, except the common part and the demonstration. Included after
# all programs, because the scripts need them.
if(TARGET quetzalvale-entry AND TARGET quetzalvale-agent AND TARGET standin-platform AND TARGET standin-endpoint)
  file(GLOB scripts CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/scenarios/*.lua)
  list(FILTER scripts EXCLUDE REGEX "/(lib|demo|soak)\\.lua$")
  foreach(script ${scripts})
    get_filename_component(scenario ${script} NAME_WE)
    add_test(NAME scenario_${scenario} COMMAND quetzalvale-scenario ${script} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    # A scenario starts about ten processes; the timeout is generous for busy machines.
    set_tests_properties(scenario_${scenario} PROPERTIES LABELS scenario TIMEOUT 300 PROCESSORS 3)
  endforeach()

  # Seeds of the randomized soak that run as tests: some for every run, and each that ever failed.
  set(soak_seeds ${CMAKE_SOURCE_DIR}/scenarios/soak_seeds.txt)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${soak_seeds})
  file(STRINGS ${soak_seeds} seed_lines REGEX "^[0-9]")
  foreach(seed_line ${seed_lines})
    string(REGEX MATCH "^[0-9]+" seed ${seed_line})
    add_test(NAME soak_${seed} COMMAND quetzalvale-scenario --seed=${seed} --seconds=8
             ${CMAKE_SOURCE_DIR}/scenarios/soak.lua WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    set_tests_properties(soak_${seed} PROPERTIES LABELS scenario TIMEOUT 300 PROCESSORS 3)
  endforeach()

  # Test variants of the programs, from the same libraries, that run without one guard.
  foreach(role agent entry)
    add_executable(unguarded-${role} tests/unguarded/${role}_main.cc)
    target_include_directories(unguarded-${role} PRIVATE ${CMAKE_SOURCE_DIR})
    target_link_libraries(unguarded-${role} PRIVATE quetzalvale_${role} docopt)
  endforeach()

  # Each run must fail by the check of its guarantee.
  set(guard_runs ${CMAKE_SOURCE_DIR}/scenarios/guards.txt)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${guard_runs})
  file(STRINGS ${guard_runs} runs REGEX "^[0-9]")
  foreach(run ${runs})
    string(REPLACE " " ";" fields ${run})
    list(GET fields 0 number)
    list(GET fields 1 guard)
    list(GET fields 2 scenario)
    set(test_name unguarded_${guard}_${scenario})
    add_test(NAME ${test_name} COMMAND quetzalvale-scenario --without=${guard} --violates=${number}
             ${CMAKE_SOURCE_DIR}/scenarios/${scenario}.lua WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    set_tests_properties(${test_name} PROPERTIES LABELS scenario TIMEOUT 300 PROCESSORS 3)
  endforeach()

  # A run without a guard must not count as expected when the script succeeds, or when it fails by the
  # check of another guarantee.
  add_test(NAME unguarded_script_succeeds COMMAND quetzalvale-scenario --without=agent.is_sealed --violates=5
           ${CMAKE_SOURCE_DIR}/scenarios/key_once.lua WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  add_test(NAME unguarded_other_guarantee COMMAND quetzalvale-scenario --without=entry.key_version --violates=1
           ${CMAKE_SOURCE_DIR}/scenarios/key_once.lua WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(unguarded_script_succeeds unguarded_other_guarantee PROPERTIES LABELS scenario
                       TIMEOUT 300 PROCESSORS 3 WILL_FAIL TRUE)
endif()
