"""Accepts connections of callers and serves each in its own task."""

import asyncio
import contextlib
import logging
import ssl
import time

from mysql_mimic import connection as mimic_connection
from mysql_mimic import constants, control
from mysql_mimic import errors as mimic_errors

from mustardswitch import settings
from mustardswitch.callers import connections, errors, logins, session, streams
from mustardswitch.instance import node
from mustardswitch.internal import statements, tokens

DRAIN_POLL_INTERVAL_S = 0.02
"""Interval of checks for idle callers during a drain."""
DISCONNECT_WAIT_S = 1.0
"""Time for callers to disconnect after their final error."""


class CallerServer:
    """Listens on the callers' port of one entry instance."""

    def __init__(
        self, *, entry: node.Node, config: settings.Settings, tls: ssl.SSLContext | None
    ) -> None:
        self.entry = entry
        self.config = config
        self.tls = tls
        self.token_codec = tokens.TokenCodec(keys=config.token_keys)
        self.classifier = statements.StatementClassifier()
        self.control = control.LocalControl()
        self.logins = logins.DocumentLogins(document=lambda: entry.router.document)
        self.streams_by_session: dict[session.CallerSession, streams.BoundedStream] = {}
        self.server: asyncio.Server | None = None
        errors.register_sqlstates()
        logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)

    async def start(self) -> None:
        """Start listening; raises OSError when the address cannot be bound."""
        self.server = await asyncio.start_server(
            self._serve, self.config.callers.address, self.config.callers.port, backlog=1024
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = streams.BoundedStream(
            reader=reader, writer=writer, max_packet_bytes=self.config.max_packet_bytes
        )
        caller = session.CallerSession(
            entry=self.entry, token_codec=self.token_codec, classifier=self.classifier
        )
        connection = connections.CallerConnection(
            stream=stream,
            session=caller,
            control=self.control,
            server_capabilities=constants.DEFAULT_SERVER_CAPABILITIES,
            identity_provider=self.logins,
            ssl=self.tls,
        )
        if len(self.streams_by_session) >= self.config.max_callers:
            await self._refuse(connection, writer)
            return
        self.streams_by_session[caller] = stream
        connection_id = await self.control.add(connection)
        connection.connection_id = connection_id
        try:
            await connection.start()
        except (mimic_errors.MysqlError, ConnectionError, asyncio.IncompleteReadError):
            return
        except Exception as error:
            self.entry.registry.count("caller_faults", type(error).__name__)
        finally:
            del self.streams_by_session[caller]
            await self.control.remove(connection_id)
            writer.close()

    async def _refuse(
        self, connection: mimic_connection.Connection, writer: asyncio.StreamWriter
    ) -> None:
        message = f"Too many connections: this instance accepts at most {self.config.max_callers}"
        with contextlib.suppress(ConnectionError):
            await connection.stream.write(
                connection.error(msg=message, code=mimic_errors.ErrorCode.CON_COUNT_ERROR)
            )
        writer.close()

    async def stop_listening(self) -> None:
        """Accept no new connections."""
        if self.server is not None:
            self.server.close()

    async def drain(self, *, deadline_s: float) -> None:
        """Send each caller a final error that tells it to connect to another instance.

        Idle callers get it at once, busy ones when their statement or transaction has ended.
        ``deadline_s`` is a reading of ``time.monotonic()``.
        """
        notified: set[session.CallerSession] = set()
        while self.streams_by_session and time.monotonic() < deadline_s:
            for caller, stream in list(self.streams_by_session.items()):
                if caller in notified or not _is_idle(caller, stream):
                    continue
                notified.add(caller)
                await stream.send_final_error(
                    "NOT RUN: leaving: this instance is draining; connect again",
                    errors.CallerErrorCode.NOT_RUN_LEAVING,
                )
            if notified >= set(self.streams_by_session):
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._wait_for_disconnects()

    async def _wait_for_disconnects(self) -> None:
        ends_s = time.monotonic() + DISCONNECT_WAIT_S
        while self.streams_by_session and time.monotonic() < ends_s:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close the connections that are still open."""
        for stream in self.streams_by_session.values():
            stream.writer.close()


def _is_idle(caller: session.CallerSession, stream: streams.BoundedStream) -> bool:
    return stream.waiting_for_command and caller.transaction is None
