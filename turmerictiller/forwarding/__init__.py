"""Forwarding decisions for callers' requests: pure functions without sockets or clocks."""
