"""Recording of events and effects, their JSON encoding, and offline replay.

Belongs here: what makes a run reproducible. Does not belong here: logs and metrics.
"""
