"""Clients of key-value services, and what is kept in them."""
