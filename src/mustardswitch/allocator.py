"""Makes the C library's allocator return large blocks to the system as soon as they are free."""

import ctypes

M_MMAP_THRESHOLD = -3
"""Parameter of ``mallopt``, from malloc.h of the GNU C library."""
LARGE_BYTES = 256 * 1024


def return_large_blocks() -> None:
    """Map blocks above ``LARGE_BYTES`` one by one.

    By default the threshold grows with the blocks that are freed, so that messages of 1 MiB come
    to lie between small objects, and their memory stays with the process. Does nothing where the
    C library has no such parameter.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
