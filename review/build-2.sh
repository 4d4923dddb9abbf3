#!/bin/bash
# Builds the stand-ins and clients of the cases from 4 on, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
