#!/usr/bin/env bash
# Compiles the cases of the second review into target/review-2, with the stand-ins that they share (in review/4). Needs
# the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2; mkdir -p target/review-2
"$(bin/jdk)/bin/javac" -d target/review-2 review/[45678]/*.java
