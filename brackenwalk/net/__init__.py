"""The network layer of the real router, around the decision module."""
