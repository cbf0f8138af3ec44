"""Upstream servers: membership, snapshots, health, and selection of a server for a call.

Belongs here: concurrency limits, budgets, outlier ejection and quarantine, shared by searches and
tickets. Does not belong here: how a search or a run continues when its call ends.
"""
