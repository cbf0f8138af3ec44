"""Connections of callers and to servers: HTTP/1.1 on sockets, without any decision."""
