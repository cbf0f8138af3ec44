"""Decision logic of the native interface: a pure reducer from events to effects.

Belongs here: state, events, effects, and all rules that act on them. Does not belong here: sockets,
files, clocks, threads, and anything of ``borders``, ``recording`` or ``forwarding``.
"""
