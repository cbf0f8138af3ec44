"""Helpers that several modules share."""
