#!/usr/bin/env bash
# Builds the stand-ins and checks of the review into target/review. Run it after deploy/build.
set -eu
cd "$(dirname "$0")/.."
. tools/jdk.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 21 -cp 'target/router/*' -d target/review review/src/*.java
