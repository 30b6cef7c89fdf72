"""Runs the command line as `python -m ironhinge`."""

import gc

from .lean_imports import import_without_openssl

gc.disable()  # imports make no garbage, and collections would look through all that they create

import_without_openssl()

from .cli import main  # noqa: E402 - it imports asyncio

gc.enable()

main(prog_name="ironhinge")
