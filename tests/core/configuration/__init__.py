"""Tests of release notes."""
