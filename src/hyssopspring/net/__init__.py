"""Network layer: callers, backend servers and other hosts."""
