#!/bin/sh
# Builds the stand-ins and the scripts of cases 6 to 10. Needs the JDK only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standin-2/*.java $(find review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
