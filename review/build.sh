#!/bin/sh
# The stand-ins of the cases are plain scripts of lib/ for Node.js alone: nothing to compile, only checked here.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs */run.mjs; do
  node --check "$file" || exit 1
done
