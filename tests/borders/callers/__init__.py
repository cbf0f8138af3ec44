"""Tests of the border to callers."""
