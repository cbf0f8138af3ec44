"""Tests of the border to upstreams."""
