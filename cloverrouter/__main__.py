"""Entry point of `python -m cloverrouter`: the command line."""

import sys

from cloverrouter.cli import main

if __name__ == "__main__":
    sys.exit(main())
