#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8. They are Python modules of this repository and of review/, so there
# is nothing to link or fetch: this compiles them, and fails where one of them cannot be imported after the build
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q rookwood review
PYTHONPATH="target/deps:." python3 -c "import review.stage_tools"
