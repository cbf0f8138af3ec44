"""Tests of shared utilities."""
