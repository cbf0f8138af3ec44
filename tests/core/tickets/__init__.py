"""Tests of at-most-once requests and their tickets."""
