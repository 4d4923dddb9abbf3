#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -Werror -d target standins/review/*.java
