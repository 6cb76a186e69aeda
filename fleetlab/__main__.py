"""Entry point of `python -m fleetlab`."""

from fleetlab.cli import main

main(prog_name="python -m fleetlab")
