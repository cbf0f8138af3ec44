"""Tests of recording and replay."""
