"""Release notes: their check, the one in force, refused ones, and joining without an older one.

Belongs here: everything that decides which configuration an instance serves by. Does not belong
here: the tables that follow from it (``core.fronts``, ``servers.membership``).
"""
