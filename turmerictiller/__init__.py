"""A query tier that answers searches over many shards from one snapshot."""

from __future__ import annotations

__version__ = "0.1.0"
