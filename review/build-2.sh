#!/bin/sh
# The stand-ins of the scripts in review/4 to review/8 are plain modules of Node
# in review/lib-2; there is nothing to compile.
set -e
node --check "$(dirname "$0")/lib-2/site.mjs"
