#!/bin/sh
# Builds what the cases 6 to 10 start beside the client proxy. Their stand-ins are in their scripts and run with the
# interpreter of the deploy file's build: this checks that they can be read by it, and fetches nothing.
cd "$(dirname "$0")/.." || exit 2
for file in review/common2.py review/[6-9]/case.py review/10/case.py; do
    [ ! -f "$file" ] || .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
