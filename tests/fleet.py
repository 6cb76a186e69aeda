"""The model of a fleet, which lives in the laboratory."""

from fleetlab.model import LATENCY_S, FleetModel, zipf_weights

__all__ = ["LATENCY_S", "FleetModel", "zipf_weights"]
