"""Adapter to the users' platform: its settings file, its store and its HTTP headers.

Everything here translates between the names of the platform and the product's own types. Decisions,
state and recovery are in ``turmerictiller.forwarding``; nothing outside this package knows the
platform's names.
"""
