"""Tests of the border to operators."""
