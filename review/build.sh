#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs the build of the deploy file in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Wno-maybe-uninitialized -I. -Iinclude -Isrc -Ischema -Itools
    -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE)
compile() {
    local object=$out/${1//\//_}.o
    # The project's stand-ins are compiled once; the review's own sources are few.
    if [[ $1 == review/* || ! -e $object ]]; then
        g++ "${flags[@]}" -c "$1" -o "$object"
    fi
}
pids=()
for source in tools/standin/*.cc tools/soak/*.cc platform/standin/*.cc review/common/*.cc review/[0-9]/*.cc; do
    compile "$source" &
    pids+=($!)
    while [ "$(jobs -rp | wc -l)" -ge 6 ]; do sleep 0.05; done
done
for pid in "${pids[@]}"; do wait "$pid"; done
shared=("$out"/tools_*.o "$out"/platform_*.o "$out"/review_common_*.o)
for source in review/[0-9]/*.cc; do
    name=$(basename "$source" .cc)
    g++ "$out/${source//\//_}.o" "${shared[@]}" target/libcitronfall_core.a target/libeasylogging.a \
        $(pkg-config --libs libpistache) -lpthread -o "$out/$name"
done
