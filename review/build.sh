#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins */play.py trials/*/play.py
