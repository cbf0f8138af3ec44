"""Record of events and effects, its JSON form, and its repetition at a desk.

Belongs here: what makes a run repeatable. Does not belong here: logs and metrics.
"""
