#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, after the build of the deploy file. The project's own
# stand-ins are compiled from a copy, in which the state service's limits can be set to those of each site.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out/src" "$out/classes"
for file in src/test/java/org/gullway/fake/*.java; do
  case "$file" in
    *Test.java) ;;
    *) cp "$file" "$out/src/" ;;
  esac
done
sed -i \
  -e 's/MAX_CHANGES_PER_SECOND = 30/MAX_CHANGES_PER_SECOND = Integer.getInteger("review.changes", 30)/' \
  -e 's/MAX_CHANGES_PER_COMMIT = 24/MAX_CHANGES_PER_COMMIT = Integer.getInteger("review.operations", 24)/' \
  "$out/src/FakeStateStore.java"
javac -nowarn -Xlint:none -d "$out/classes" -cp target/gullway.jar \
  "$out"/src/*.java \
  src/test/java/org/gullway/{LoopbackTransport,StoppableEventLoop,LoopbackAddresses,ReservedAddress}.java \
  review/src-2/org/gullway/*.java
