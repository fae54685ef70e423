#!/bin/sh
# Builds what the cases start beside the client proxy: the stand-ins, which need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
