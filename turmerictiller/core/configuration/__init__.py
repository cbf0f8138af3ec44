"""Release notes: validation, the note in force, refused notes, and the choice of the first note.

Contains everything that decides which configuration an instance serves. The tables derived from
the configuration are in ``core.fronts`` and ``servers.membership``.
"""
