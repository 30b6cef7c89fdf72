"""`python -m ironhinge.wirehost`: the wire on standard input and output."""

import sys

from .host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
