"""Forwarding of callers' requests to servers: pure decisions, no sockets and no clock."""
