"""Stand-ins of the second review."""
