#!/usr/bin/env bash
# Builds the stand-ins and programs that the scripts of review/4 and later start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
. tools/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 review/src-2/*.java
