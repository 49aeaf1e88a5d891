"""Stand-ins for the review cases, on the standard library only."""
