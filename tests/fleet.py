"""Re-exports the laboratory's model of a fleet for the tests."""

from fleetlab.model import LATENCY, Fleet, zipf

__all__ = ["LATENCY", "Fleet", "zipf"]
