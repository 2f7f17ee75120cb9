#!/bin/bash
# The stand-ins are plain modules for Node; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in standins/*.mjs */run.mjs; do
  node --check "$file" || exit 1
done
