"""Decisions without input, output, wall clock or reactor."""
