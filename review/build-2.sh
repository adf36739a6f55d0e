#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start: compiles
# them, and checks that they import beside what the deploy file has built. They
# stand in review/6, as nothing but cases is added to review/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/6 review/7 review/8 review/9 review/10
PYTHONPATH=target/deps:review/6 python3 -c \
  "import stand_ins.clients, stand_ins.record, stand_ins.small, stand_ins.streams"
