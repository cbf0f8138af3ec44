"""Other entry instances: membership, liveness, and the content of gossip.

The wire format of gossip and its connections are in ``borders.peers``.
"""
