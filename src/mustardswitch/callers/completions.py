"""Adds affected rows and insert ids to the codec's OK packets.

``mysql_mimic`` answers every statement without a result set with an OK packet of zeros; the MySQL
protocol carries the affected rows and the last insert id there (OK_Packet in the MySQL internals
manual). Replacing the codec's whole command phase instead would take far more code.
"""

import dataclasses
import typing

from mysql_mimic import connection as mimic_connection


@dataclasses.dataclass(kw_only=True, slots=True)
class Completion:
    """The counts that the next OK packet of a connection carries."""

    affected_rows: int = 0
    last_insert_id: int = 0


def install(connection: mimic_connection.Connection) -> Completion:
    """Patch ``connection`` so that its next OK packet carries the returned completion.

    Each OK packet resets the completion to zeros; OK packets that stand for EOF are left alone.
    """
    completion = Completion()
    original_ok = connection.ok

    def ok_with_counts(**kwargs: typing.Any) -> bytes:
        if not kwargs.get("eof"):
            kwargs.setdefault("affected_rows", completion.affected_rows)
            kwargs.setdefault("last_insert_id", completion.last_insert_id)
            completion.affected_rows = 0
            completion.last_insert_id = 0
        return original_ok(**kwargs)

    connection.ok = ok_with_counts
    return completion
