"""HTTP server for operators on a separate port: metrics, health, trace and state dump.

Belongs here: read-only views of the state. Does not belong here: anything that modifies it.
"""
