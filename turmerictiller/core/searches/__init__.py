"""Searches: admission, scatter, hedged and repeated calls, gather, partial and final answers.

Belongs here: what is decided for one search or among searches. Does not belong here: which server
takes a call (``servers``) and requests that may run only once (``tickets``).
"""
