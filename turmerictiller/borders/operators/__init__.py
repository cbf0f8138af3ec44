"""The border to operators: metrics, health and the state dump, on a port of their own.

Belongs here: read-only views of the state. Does not belong here: anything that changes it.
"""
