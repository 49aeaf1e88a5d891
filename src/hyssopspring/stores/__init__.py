"""Clients of key-value services and the data stored in them."""
