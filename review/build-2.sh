#!/bin/sh
# The stand-ins of this review (review/lib-2) are plain scripts of Node.js and need no build. The cases start
# the one program that the build command of deploy/system.toml leaves in target/.
set -e
cd "$(dirname "$0")/.."
test -f target/umberspar-entry.mjs
for file in review/lib-2/*.mjs; do node --check "$file"; done
