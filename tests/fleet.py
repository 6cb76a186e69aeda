"""Re-exports the laboratory's model of a fleet for the tests."""

from fleetlab.model import LATENCY_S, FleetModel, zipf_weights

__all__ = ["LATENCY_S", "FleetModel", "zipf_weights"]
