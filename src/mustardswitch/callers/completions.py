"""Adds affected rows and insert ids to the codec's OK packets.

``mysql_mimic`` answers every statement without a result set with an OK packet of zeros; the MySQL
protocol carries the affected rows and the last insert id there (OK_Packet in the MySQL internals
manual). Replacing the whole command phase was weighed and rejected: it is far longer.
"""

import dataclasses
import typing

from mysql_mimic import connection as mimic_connection


@dataclasses.dataclass(kw_only=True, slots=True)
class Completion:
    """What the next OK packet of a connection reports."""

    affected_rows: int = 0
    last_insert_id: int = 0


def install(connection: mimic_connection.Connection) -> Completion:
    """Make the OK packets of ``connection`` report the returned completion, once each."""
    completion = Completion()
    plain_ok = connection.ok

    def reporting_ok(**kwargs: typing.Any) -> bytes:
        if not kwargs.get("eof"):
            kwargs.setdefault("affected_rows", completion.affected_rows)
            kwargs.setdefault("last_insert_id", completion.last_insert_id)
            completion.affected_rows = 0
            completion.last_insert_id = 0
        return plain_ok(**kwargs)

    connection.ok = reporting_ok
    return completion
