"""HTTP server for callers: connections, request bodies and responses.

Belongs here: syntactic validation of requests. Does not belong here: admission control.
"""
