"""Stand-ins that speak the protocols of discovery, cache servers, origin, clients and the peer network."""
