#!/usr/bin/env bash
# Nothing to build: the stand-ins in review/lib are plain JavaScript for the
# Node.js that runs the daemon, and use its own modules only.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]*/case.mjs; do
  node --check "$file" || exit 1
done
[ -s ../target/rosemarypind.cjs ] || {
  echo "build the deploy file first: node tools/bundle.mjs" >&2
  exit 1
}
