"""Sockets of the product's own interface, one package per neighbour, and the shell that joins them.

Belongs here: everything that turns bytes into events of ``core`` and its effects into bytes. Does
not belong here: decisions, and the users' platform (``transport`` and ``platform``).
"""
