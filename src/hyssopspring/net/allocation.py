"""How the memory of large blocks is allocated."""

import contextlib
import ctypes

__all__ = ["map_large_blocks"]

M_MMAP_THRESHOLD = -3
"""Parameter of ``mallopt``, from ``malloc.h``."""

LARGE_BLOCK_BYTES = 128 * 1024


def map_large_blocks():
    """Map each large block of memory on its own.

    It then goes back to the operating system as soon as it is freed. By
    default, glibc takes blocks up to the size of the largest freed one from
    the heap, where small blocks above them keep the memory.

    Other C libraries have no such parameter.
    """
    with contextlib.suppress(AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
