"""Tests of upstream servers."""
