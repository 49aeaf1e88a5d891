"""Hashes that are the same on every host."""

import hashlib

import xxhash

SEED_MASK = 0xFFFFFFFFFFFFFFFF


def hash_text(text, seed=0):
    """Return a 64-bit hash of *text*."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed & SEED_MASK)


def short_id(text):
    """Return a 32-bit hash of *text*, to name it in small messages."""
    return hash_text(text) & 0xFFFFFFFF


def hash_bytes(data):
    """Return a 64-bit hash of *data*."""
    return xxhash.xxh3_64_intdigest(data)


def credential_digest(key):
    """Return the digest that stands for a caller's key, given as bytes.

    Only the digest is kept, compared and told to other hosts. A lookup by
    it tells nothing about a key by the time that it takes: callers cannot
    choose the digest of what they send.
    """
    return hashlib.sha256(key).hexdigest()


def digest_of(parts):
    """Return 32 hexadecimal digits that stand for a series of bytes.

    Unlike the other hashes it cannot be met on purpose: whoever found
    another request with the same digest could have it refused.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
