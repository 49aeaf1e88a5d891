"""Parsing of addresses of the form ``ip:port``."""

__all__ = ["split_address"]


def split_address(text):
    """Split ``ip:port`` into the IP address and the port number."""
    host, _, port = text.rpartition(":")
    return host, int(port)
