"""Tests of ``turmerictiller.forwarding``."""
