"""Decision logic that does no I/O and uses neither clock nor reactor."""
