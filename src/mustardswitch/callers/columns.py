"""Columns of results, with the encoders of their cells."""

import functools

from mysql_mimic import results as mimic_results
from mysql_mimic import types as mimic_types

from mustardswitch.internal import outcomes

COLUMN_CACHE_ENTRIES = 1024

_INTEGER_TYPES = frozenset(
    {
        mimic_types.ColumnType.TINY,
        mimic_types.ColumnType.SHORT,
        mimic_types.ColumnType.INT24,
        mimic_types.ColumnType.LONG,
        mimic_types.ColumnType.LONGLONG,
        mimic_types.ColumnType.YEAR,
    }
)
_FLOAT_TYPES = frozenset({mimic_types.ColumnType.FLOAT, mimic_types.ColumnType.DOUBLE})


def _encode_text(column: mimic_results.ResultColumn, value: bytes) -> bytes:
    """Return a cell as the backend server sent it."""
    return value


def _encode_binary(column: mimic_results.ResultColumn, value: bytes) -> bytes:
    """Encode a cell for a prepared statement, whose binary protocol carries typed values."""
    plain = mimic_results.ResultColumn(name=column.name, type=column.type)
    if column.type in _INTEGER_TYPES:
        return plain.binary_encode(int(value))
    if column.type in _FLOAT_TYPES:
        return plain.binary_encode(float(value))
    return plain.binary_encode(value)


@functools.lru_cache(maxsize=COLUMN_CACHE_ENTRIES)
def build(columns: tuple[outcomes.Column, ...]) -> list[mimic_results.ResultColumn]:
    """Build the columns of a result for the codec."""
    return [_column(column) for column in columns]


def _column(column: outcomes.Column) -> mimic_results.ResultColumn:
    return mimic_results.ResultColumn(
        name=column.name,
        type=mimic_types.ColumnType(column.type_code),
        text_encoder=_encode_text,
        binary_encoder=_encode_binary,
    )
