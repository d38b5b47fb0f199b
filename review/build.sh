#!/usr/bin/env bash
# Compiles the stand-ins and the cases. It needs only the JDK that the project needs.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -encoding UTF-8 -d target harness/*.java [0-9]*/*.java
