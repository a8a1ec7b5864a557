"""The connection of the codec (``mysql_mimic``), corrected where it deviates from the protocol."""

import collections.abc

from mysql_mimic import connection as mimic_connection
from mysql_mimic import prepared


class CallerConnection(mimic_connection.Connection):
    """Omits the EOF packet after parameter definitions when the caller does not expect it.

    The codec always sends it; with CLIENT_DEPRECATE_EOF it is not part of the answer to
    COM_STMT_PREPARE (MySQL client/server protocol), and the caller reads it as the next answer.
    """

    def com_stmt_prepare_response(
        self, statement: prepared.PreparedStatement
    ) -> collections.abc.Iterator[bytes]:
        """Return the packets that answer COM_STMT_PREPARE."""
        packets = list(super().com_stmt_prepare_response(statement))
        if statement.num_params and self.deprecate_eof():
            packets.pop()
        return iter(packets)
