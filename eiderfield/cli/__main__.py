"""`python -m eiderfield.cli`."""

from eiderfield.cli import main

main(prog_name="eiderfield")
