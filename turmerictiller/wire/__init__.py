"""Code generated from peers.thrift by ``make wire``."""
