"""Decisions of the product's own interface: one reducer from events to effects as data.

Belongs here: state, events, effects, and every rule that decides from them. Does not belong here:
sockets, files, clocks, threads, and anything of ``borders``, ``recording`` or ``forwarding``.
"""
