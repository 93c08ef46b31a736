# Packages and programs beyond the core. Each program is one folder under src/ with a main.cc;
# its other sources form a library that tests can link.
set(QUETZALVALE_LIBRARIES quetzalvale_protocol quetzalvale_runtime quetzalvale_core)

quetzalvale_library(settings quetzalvale_protocol quetzalvale_core)
list(PREPEND QUETZALVALE_LIBRARIES quetzalvale_settings)
