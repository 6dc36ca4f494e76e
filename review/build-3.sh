#!/bin/sh
# Builds what the scripts of review/11 to 15 start beside the program of the deploy file: their stand-ins are plain
# JavaScript without dependencies, so that it is enough to check them.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
echo 'review/standins-3: checked'
