#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review; needs the build of the deploy file for the processes.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/*.java review/[123]/*.java
