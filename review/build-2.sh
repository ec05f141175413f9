#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK only.
set -e
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir target
javac --release 17 -d target src/*.java
