"""Transport to other entry instances: thrift frames over persistent TCP connections.

Belongs here: encoding of messages and the lifecycle of connections. Does not belong here: the
meaning of messages (``core.peers``).
"""
