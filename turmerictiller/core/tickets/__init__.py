"""Requests that run at most once: their tickets, their owners, runs and outcomes.

Belongs here: the text of a ticket, the table of used ones, and calls handed to their owner. Does
not belong here: calls that may be repeated (``searches``).
"""
