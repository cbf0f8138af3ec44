"""Run the I/O of the forwarding core: HTTP/1.1 and peer connections, timers, logs and metrics."""
