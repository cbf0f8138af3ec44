"""The border to upstreams: the HTTP client and its connections.

Belongs here: sending calls and reading answers. Does not belong here: choice of a server, repeats.
"""
