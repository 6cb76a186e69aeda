#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file. Their stand-ins are plain Python from
# review/standins2/ and need nothing but the standard library: they are checked to load, and nothing is written.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=review exec .venv/bin/python -B -c "import standins2.sites, standins2.world"
