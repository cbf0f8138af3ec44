"""Tests of sockets."""
