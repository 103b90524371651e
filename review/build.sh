#!/bin/sh
# Bundles the test of each case, with the stand-ins in it, as the service is bundled.
set -e
cd "$(dirname "$0")/.."
for folder in review/[0-9]*; do
  npx esbuild "$folder/case.ts" --bundle --conditions=source --platform=node --target=node20 \
    --format=cjs --log-level=warning --outfile="target/review/$(basename "$folder").cjs"
done
