#!/bin/sh
# Bundles the tests of the second review's cases, with the stand-ins in them, as the service is bundled.
set -e
cd "$(dirname "$0")/.."
for number in 4 5 6 7 8; do
  [ -f "review/$number/case.ts" ] || continue
  npx esbuild "review/$number/case.ts" --bundle --conditions=source --platform=node --target=node20 \
    --format=cjs --log-level=warning --outfile="target/review/$number.cjs"
done
