"""Entry point of `python -m ironhinge.wirehost`: serves the simulator on standard input and output."""

import sys

from .host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
