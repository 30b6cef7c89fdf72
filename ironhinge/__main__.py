"""Runs the command line as `python -m ironhinge`."""

from .lean_imports import import_without_openssl

import_without_openssl()

from .cli import main  # noqa: E402 - it imports asyncio

main(prog_name="ironhinge")
