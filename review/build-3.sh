#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15. Needs only the JDK; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standin-3/*.java
