#!/usr/bin/env bash
# Compiles the stand-ins and the cases with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target standins/*.java
