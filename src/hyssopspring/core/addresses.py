"""Addresses as ``ip:port``."""

__all__ = ["split_address"]


def split_address(text):
    """Return IP address and port of ``ip:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
