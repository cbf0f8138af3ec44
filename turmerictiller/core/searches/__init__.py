"""Searches: admission, scatter, hedging, retries, gather, partial and final answers.

Belongs here: decisions about one search or between searches. Does not belong here: server selection
(``servers``) and requests that may run only once (``tickets``).
"""
