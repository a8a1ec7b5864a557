"""The codec's connection, corrected where it departs from the MySQL protocol."""

import collections.abc

from mysql_mimic import connection as mimic_connection
from mysql_mimic import prepared


class CallerConnection(mimic_connection.Connection):
    """Leaves out the EOF packet that callers no longer expect after parameter definitions.

    The codec sends it always; with CLIENT_DEPRECATE_EOF it is not part of the answer to
    COM_STMT_PREPARE (MySQL client/server protocol), and the caller takes it for the next answer.
    """

    def com_stmt_prepare_response(
        self, statement: prepared.PreparedStatement
    ) -> collections.abc.Iterator[bytes]:
        """Answer a statement that was prepared."""
        packets = list(super().com_stmt_prepare_response(statement))
        if statement.num_params and self.deprecate_eof():
            packets.pop()
        return iter(packets)
