"""Tests of other entry instances."""
