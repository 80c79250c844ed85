#!/bin/sh
# The stand-ins of the third review are plain modules for Node.js 20 without
# packages: nothing is compiled. Checks that each of them can be read.
set -eu
cd "$(dirname "$0")/standin-3"
for file in *.mjs; do
  node --check "$file"
done
