#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review; needs the build of the deploy file, and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -cp target/gullway.jar -d target/review review/stand-in/*.java review/[0-9]/*.java
