"""`python -m ironhinge`: the command line."""

from .cli import main

main(prog_name="ironhinge")
