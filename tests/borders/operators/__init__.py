"""Tests of the HTTP server for operators."""
