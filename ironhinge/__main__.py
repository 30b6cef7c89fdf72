"""Runs the command line as `python -m ironhinge`."""

from .cli import main

main(prog_name="ironhinge")
