"""Hashes that are the same on every host."""

import xxhash

SEED_BITS = 0xFFFFFFFFFFFFFFFF


def hash_text(text, seed=0):
    """Return a 64-bit hash of *text*."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed & SEED_BITS)


def short_id(text):
    """Return a 32-bit hash of *text*, to name it in small messages."""
    return hash_text(text) & 0xFFFFFFFF


def hash_bytes(data):
    """Return a 64-bit hash of *data*."""
    return xxhash.xxh3_64_intdigest(data)
