"""Adapter to the users' platform: its settings file, metadata store and HTTP headers.

This package translates between the platform's names and turmerictiller's own types. Decisions,
state and recovery are in ``turmerictiller.forwarding``; no module outside this package uses the
platform's names.
"""
