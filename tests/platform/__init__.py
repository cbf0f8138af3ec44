"""Tests of ``turmerictiller.platform``."""
