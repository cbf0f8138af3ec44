"""HTTP client for upstream servers, and its connection pools.

Belongs here: sending requests and reading responses. Does not belong here: server selection and
retries.
"""
