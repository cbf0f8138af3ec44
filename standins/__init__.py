"""Stand-ins for the platform and for upstreams, for tests, demos and measurements."""
