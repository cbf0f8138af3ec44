"""Tests of ``turmerictiller.transport``."""
