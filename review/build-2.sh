#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start. They are plain modules for
# Node.js 20 without dependencies, so that there is nothing to compile: this
# checks that each of them and each case can be parsed.
set -e
cd "$(dirname "$0")"
for file in standin-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
