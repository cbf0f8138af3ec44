"""The border to other entry instances: thrift frames over kept connections.

Belongs here: encoding, and opening and losing connections. Does not belong here: what a message
means (``core.peers``).
"""
