#!/usr/bin/env bash
# Builds what the scripts of this review start besides the program of the deploy file. The stand-ins are plain JavaScript
# without packages, so that there is nothing to build; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs */run.mjs; do node --check "$file"; done
