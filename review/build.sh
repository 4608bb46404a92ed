#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs the build of the deploy file in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Wno-maybe-uninitialized -I. -Iinclude -Isrc -Ischema -Itools
    -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE)
sources=(tools/standin/*.cc tools/soak/*.cc platform/standin/*.cc review/common/*.cc review/[0-9]/*.cc)
compile() {
    local object=$out/${1//\//_}.o
    [ "$object" -nt "$1" ] || g++ "${flags[@]}" -c "$1" -o "$object"
}
export -f compile
for source in "${sources[@]}"; do
    compile "$source" &
    while [ "$(jobs -rp | wc -l)" -ge 6 ]; do wait -n; done
done
for job in $(jobs -p); do wait "$job"; done
shared=("$out"/tools_*.o "$out"/platform_*.o "$out"/review_common_*.o)
for source in review/[0-9]/*.cc; do
    name=$(basename "$source" .cc)
    g++ "$out/${source//\//_}.o" "${shared[@]}" target/libcitronfall_core.a target/libeasylogging.a \
        $(pkg-config --libs libpistache) -lpthread -o "$out/$name"
done
