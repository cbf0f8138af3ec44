"""At-most-once execution of non-idempotent requests: tickets, owners, runs and outcomes.

Contains the encoding of tickets, the table of used tickets, and the forwarding of calls to the
instance that owns their ticket. Idempotent calls are handled in ``searches``.
"""
