"""Tests of peer membership and gossip."""
