"""Stand-ins, from the protocol page: discovery, cache servers, origin, clients, the network of peers."""
