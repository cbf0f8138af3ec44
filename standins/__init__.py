"""Stand-ins for the platform, its store and upstreams, for tests, demonstrations and benchmarks."""
