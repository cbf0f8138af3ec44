"""Tests of the transport to other instances."""
