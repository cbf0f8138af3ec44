"""Tests of searches."""
