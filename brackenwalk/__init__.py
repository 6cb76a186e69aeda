"""The decision module and the host of a request router in front of a fleet of cache servers."""

from brackenwalk import interface
from brackenwalk.policy import Router

__all__ = ["Router", "interface"]
