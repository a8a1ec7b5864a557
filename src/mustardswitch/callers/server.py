"""Listens for callers and serves each on a task of its own."""

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

DRAIN_CHECK_S = 0.02
DISMISSED_S = 1.0


class CallerServer:
    """The callers' port of one entry instance."""

    def __init__(
        self, *, entry: node.Node, config: settings.Settings, tls: ssl.SSLContext | None
    ) -> None:
        self.entry = entry
        self.config = config
        self.tls = tls
        self.codec = tokens.TokenCodec(keys=config.token_keys)
        self.classifier = statements.StatementClassifier()
        self.control = control.LocalControl()
        self.logins = logins.DocumentLogins(document=lambda: entry.router.document)
        self.open: dict[session.CallerSession, streams.BoundedStream] = {}
        self.server: asyncio.Server | None = None
        errors.register_sqlstates()
        logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(
            self._serve, self.config.callers.address, self.config.callers.port, backlog=1024
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = streams.BoundedStream(
            reader=reader, writer=writer, max_packet_bytes=self.config.max_packet_bytes
        )
        caller = session.CallerSession(
            entry=self.entry, codec=self.codec, classifier=self.classifier
        )
        connection = connections.CallerConnection(
            stream=stream,
            session=caller,
            control=self.control,
            server_capabilities=constants.DEFAULT_SERVER_CAPABILITIES,
            identity_provider=self.logins,
            ssl=self.tls,
        )
        if len(self.open) >= self.config.max_callers:
            await self._refuse(connection, writer)
            return
        self.open[caller] = stream
        connection_id = await self.control.add(connection)
        connection.connection_id = connection_id
        try:
            await connection.start()
        except (mimic_errors.MysqlError, ConnectionError, asyncio.IncompleteReadError):
            return
        except Exception as error:
            self.entry.registry.count("caller_faults", type(error).__name__)
        finally:
            del self.open[caller]
            await self.control.remove(connection_id)
            writer.close()

    async def _refuse(
        self, connection: mimic_connection.Connection, writer: asyncio.StreamWriter
    ) -> None:
        message = f"Too many connections: this instance takes {self.config.max_callers}"
        with contextlib.suppress(ConnectionError):
            await connection.stream.write(
                connection.error(msg=message, code=mimic_errors.ErrorCode.CON_COUNT_ERROR)
            )
        writer.close()

    async def stop_listening(self) -> None:
        """Take no new connections."""
        if self.server is not None:
            self.server.close()

    async def drain(self, *, deadline_s: float) -> None:
        """Tell idle callers to connect elsewhere, busy ones once their work has ended."""
        dismissed: set[session.CallerSession] = set()
        while self.open and time.monotonic() < deadline_s:
            for caller, stream in list(self.open.items()):
                if caller in dismissed or not _is_idle(caller, stream):
                    continue
                dismissed.add(caller)
                await stream.send_final_error(
                    "NOT RUN: leaving: this instance is draining; connect again",
                    errors.CallerErrorCode.NOT_RUN_LEAVING,
                )
            if dismissed >= set(self.open):
                break
            await asyncio.sleep(DRAIN_CHECK_S)
        await self._wait_for_goodbyes()

    async def _wait_for_goodbyes(self) -> None:
        ends_s = time.monotonic() + DISMISSED_S
        while self.open and time.monotonic() < ends_s:
            await asyncio.sleep(DRAIN_CHECK_S)

    def close(self) -> None:
        """Cut off whoever is left."""
        for stream in self.open.values():
            stream.writer.close()


def _is_idle(caller: session.CallerSession, stream: streams.BoundedStream) -> bool:
    return stream.waiting_for_command and caller.transaction is None
