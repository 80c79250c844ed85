#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node.js 20; this checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.mjs [1-9]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
