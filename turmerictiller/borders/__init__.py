"""Network I/O of the standalone instance, one package per kind of remote party.

Belongs here: decoding bytes into events of ``core``, encoding its effects into bytes, and the
imperative shell that connects both. Does not belong here: decisions, and the users' platform
(``transport`` and ``platform``).
"""
