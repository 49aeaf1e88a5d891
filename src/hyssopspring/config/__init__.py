"""Operators' files: checks, merge and acceptance."""
