"""Tests of records of events."""
