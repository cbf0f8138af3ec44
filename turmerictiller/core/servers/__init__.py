"""Upstream servers: which exist, what they hold, how they behave, and which takes a call.

Belongs here: limits, budgets, ejection and quarantine, which searches and tickets share. Does not
belong here: what becomes of a search or a run when its call ends.
"""
