#!/usr/bin/env bash
# Builds what the cases 11 to 15 start: the stand-ins and the clients.  The
# programs themselves are built by the `build` line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/11/lib3 tests
for folder in review/1[1-5]; do
  if [ -d "$folder" ]; then
    python3 -m compileall -q "$folder"
  fi
done
