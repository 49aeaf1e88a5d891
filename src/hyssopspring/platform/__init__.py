"""Clients of what the platform gives."""
