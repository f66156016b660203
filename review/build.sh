#!/bin/sh
# Builds the stand-ins of the cases. The programs of the deploy file are built by its own build command.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && exec javac -d target/review review/standin/*.java
