"""Tests of network I/O."""
