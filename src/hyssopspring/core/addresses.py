"""Parsing of addresses of the form ``ip:port``."""

import ipaddress
from functools import lru_cache

__all__ = ["is_ip_address", "split_address"]

CACHED_ADDRESSES = 4_096
"""Addresses that are kept in their split form. A host sends datagrams and
requests to the same few thousand hosts and servers again and again."""

MAX_PORT = 65535
MAX_DIGITS = len(str(MAX_PORT))


@lru_cache(CACHED_ADDRESSES)
def split_address(text):
    """Split ``ip:port`` into the IP address and the port number."""
    host, _, port = text.rpartition(":")
    return host, int(port)


@lru_cache(CACHED_ADDRESSES)
def is_ip_address(text, *, lowest_port=1):
    """Return whether *text* is an IP address with a port number.

    Args:
        text: The text.
        lowest_port: Lowest port that is valid.
    """
    host, _, port = text.rpartition(":")
    # int() takes signs, blanks and underscores as well.
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_DIGITS):
        return False
    # A scope identifier may contain any text.
    if "%" in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return lowest_port <= int(port) <= MAX_PORT
