#!/usr/bin/env bash
# The scripts of the third review use the stand-ins of tests/forwarding, which are Python programs without a build step.
# This checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review"); import support3'
