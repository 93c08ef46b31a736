#!/usr/bin/env bash
# Builds the stand-ins and cases of this review into target/review-2/, which git ignores. Needs the
# packages of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
jsoncpp="$(for d in /usr/include/jsoncpp /usr/include; do [ -e "$d/json/json.h" ] && echo "$d" && break; done)"
flags=(-std=c++20 -O1 -Isrc -Ireview/standins-2 -isystem "$jsoncpp" -include utility)
sources=(src/http/http_server.cc src/http/http_session.cc src/http/http_loop.cc
  src/http/connection_table.cc src/http/http_messages.cc src/http/uri_text.cc review/standins-2/rig.cc)
objects=()
for source in "${sources[@]}"; do
  object="$out/$(basename "${source%.cc}").o"
  objects+=("$object")
  if [ ! -e "$object" ] || [ "$source" -nt "$object" ] || [ review/standins-2/rig.h -nt "$object" ]; then
    g++ "${flags[@]}" -c "$source" -o "$object" &
  fi
done
wait
rm -f "$out"/case_*
for case in review/standins-2/case_*.cc; do
  program="$out/$(basename "${case%.cc}")"
  g++ "${flags[@]}" "$case" "${objects[@]}" -o "$program" -lcpprest -ljsoncpp -lssl -lcrypto -lpthread &
done
wait
for case in review/standins-2/case_*.cc; do
  test -x "$out/$(basename "${case%.cc}")"
done
