#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are plain Python without
# dependencies, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
