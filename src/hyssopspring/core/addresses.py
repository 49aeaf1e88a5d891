"""Parsing of addresses of the form ``ip:port``."""

from functools import lru_cache

__all__ = ["split_address"]

CACHED_ADDRESSES = 4_096
"""Addresses that are kept in their split form. A host sends datagrams and
requests to the same few thousand hosts and servers again and again."""


@lru_cache(CACHED_ADDRESSES)
def split_address(text):
    """Split ``ip:port`` into the IP address and the port number."""
    host, _, port = text.rpartition(":")
    return host, int(port)
