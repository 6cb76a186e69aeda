"""The model of a fleet, which lives in the laboratory."""

from fleetlab.model import LATENCY, Fleet, zipf

__all__ = ["LATENCY", "Fleet", "zipf"]
