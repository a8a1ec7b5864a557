"""Revisions of the store, comparable across the copies from which it is restored.

A store that is restored from a copy gives out the revisions of its lost changes again, in a new
era. A revision here holds the era in its upper bits, so that all of an era are above those of
earlier eras. In era 0 (a store that names none) it equals the store's number.
"""

import typing

Revision = typing.NewType("Revision", int)

NUMBER_BITS = 40
"""Bits of the store's number: enough for 400 changes a second for 80 years."""
_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def join(*, era: int, number: int) -> Revision:
    """Return the revision of a store's number in an era.

    Raises ValueError for a negative era, or a number that is negative or too large.
    """
    if era < 0 or not 0 <= number <= _NUMBER_MASK:
        raise ValueError(f"revision {number} of era {era} is invalid; give numbers from 0")
    return Revision((era << NUMBER_BITS) | number)


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's number of a revision."""
    return revision & _NUMBER_MASK
