"""Parse, merge and validate operators' configuration files."""
