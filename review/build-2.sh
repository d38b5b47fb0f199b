#!/usr/bin/env bash
# Builds the stand-ins (review/6/standins) and the scripts of the second review (cases 6 to 10) into target/review-2.
# It needs a JDK 17 or later and no network. The system itself is built by the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=(review/6/standins/*.java)
for case in 6 7 8 9 10; do
  for source in review/$case/*.java; do
    if [ -e "$source" ]; then sources+=("$source"); fi
  done
done
javac --release 17 -encoding UTF-8 -d target/review-2 "${sources[@]}"
