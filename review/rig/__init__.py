"""Stand-ins and a driver for the scripted cases of the second review."""
