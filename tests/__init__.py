"""Tests, one module per module of the package."""
