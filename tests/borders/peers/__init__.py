"""Tests of the border to other instances."""
