"""Hash functions with identical results on all hosts."""

import hashlib

import xxhash

SEED_MASK = 0xFFFFFFFFFFFFFFFF
"""Mask that reduces a seed to 64 bits."""


def hash_text(text, seed=0):
    """Return a 64-bit hash of *text*."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed & SEED_MASK)


def short_id(text):
    """Return a 32-bit hash of *text*, as a short identifier in messages."""
    return hash_text(text) & 0xFFFFFFFF


def hash_bytes(data):
    """Return a 64-bit hash of *data*."""
    return xxhash.xxh3_64_intdigest(data)


def credential_digest(key):
    """Return the digest of an API key, which is given as bytes.

    Only the digest is stored, compared and sent to other hosts. The time
    of a lookup by digest reveals nothing about valid keys, since callers
    cannot choose the digest of the key that they send.
    """
    return hashlib.sha256(key).hexdigest()


def digest_of(parts):
    """Return the digest of a sequence of bytes as 32 hexadecimal digits.

    Unlike the other hashes, it is cryptographic and resists deliberate
    collisions: an attacker who found a second request with the same
    digest could have that request refused.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
