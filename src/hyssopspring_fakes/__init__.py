"""Small stand-ins at the interfaces, with switches for faults."""
