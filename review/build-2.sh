#!/bin/bash
# Builds what the scripts of the cases 4 to 8 start, beside the build of the
# deploy file. Their stand-ins are plain modules in `lib-2/` and in the cases,
# which need only Node.js, so they are just checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
