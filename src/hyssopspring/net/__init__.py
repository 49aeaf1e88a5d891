"""Sockets round the core: callers, backend servers and peers."""
