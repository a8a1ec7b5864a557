"""Runs the callers of some zones as a process and prints the counts of their operations."""

import argparse
import asyncio
import collections
import collections.abc
import json
import random
import time

from mustardswitch_standins.full_run import control, figures

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
"""Codes which state that nothing of the attempt is kept."""
GREETING_S = 2.0
RETRIES = 2
ITEMS = 2000
STAYS_OPEN = 0.97
"""Share of the sessions that stay open after an operation."""
PREPARED = 0.3
"""Share of the statements outside of transactions that are prepared in their session."""


class BrokenSessionError(Exception):
    """A session ended in the middle of an operation."""


class Session:
    """A session with an instance; it sends one request at a time."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.prepared: set[str] = set()
        """Names of its prepared statements."""

    async def line(self, timeout_s: float) -> str:
        """Read a line; raises ``BrokenSessionError`` if there is none within the limit."""
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.reader.readline()
        except (OSError, TimeoutError) as error:
            raise BrokenSessionError(str(error)) from error
        if not line:
            raise BrokenSessionError("closed")
        return line.decode().rstrip("\r\n")

    async def query(self, request: str, text: str, timeout_s: float) -> str:
        """Send a statement; return "" after success, and else the code of the error."""
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        code = ""
        while True:
            line = await self.line(timeout_s)
            if line.startswith("ERROR"):
                code = line.split(" ")[1]
            elif line.startswith("READY"):
                return code

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Callers:
    """The callers of one zone: operations at random times over sessions that are kept open."""

    def __init__(
        self,
        *,
        zone: str,
        ports: collections.abc.Sequence[int],
        other_ports: collections.abc.Sequence[int],
        size: figures.Size,
        rate: float,
        source: random.Random,
    ) -> None:
        self.zone = zone
        self.ports = ports
        self.other_ports = other_ports
        self.size = size
        self.rate = rate
        self.source = source
        self.services = figures.service_names(size)
        self.idle: collections.defaultdict[str, list[Session]] = collections.defaultdict(list)
        self.open = 0
        self.requests = 0
        self.running: set[asyncio.Task[None]] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.written: list[str] = []
        """Writes whose commits were answered with success."""

    async def run(self) -> None:
        """Start operations until cancelled."""
        next_s = time.monotonic()
        while True:
            next_s += self.source.expovariate(self.rate)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            if len(self.running) >= self.size.sessions:
                self.counts["skipped"] += 1
                continue
            operation = asyncio.create_task(self._operate())
            self.running.add(operation)
            operation.add_done_callback(self.running.discard)

    async def _operate(self) -> None:
        kinds = figures.ROUTE_KINDS
        kind = self.source.choices(kinds, [each.weight for each in kinds])[0]
        host = f"{kind.name}-{self.source.choice(self.services)}"
        transaction = self.source.random() < kind.transactions
        outcome = "failed"
        for _ in range(1 + RETRIES):
            outcome = await self._attempt(kind, host, transaction)
            if outcome != "refused":
                break
            await asyncio.sleep(self.source.uniform(0.02, 0.1))
        self.counts[outcome] += 1

    async def _attempt(self, kind: figures.RouteKind, host: str, transaction: bool) -> str:
        """Run an operation once; return ``done``, ``refused`` or ``failed``."""
        session = None
        code = "BUSY"
        try:
            session = self.idle[host].pop() if self.idle[host] else await self._connect(host)
            if session is not None:
                run = self._run_transaction if transaction else self._run_statement
                code = await run(session, kind)
        except BrokenSessionError:
            code = "broken"
        if session is not None:
            if code or self.source.random() > STAYS_OPEN:
                session.close()
            else:
                self.idle[host].append(session)
        if code in PROMISES:
            return "refused"
        return "failed" if code else "done"

    async def _connect(self, host: str) -> Session | None:
        """Open a session with an instance of the zone, or with another if there is none."""
        ports = self.source.sample(list(self.ports), len(self.ports)) + [
            self.source.choice(list(self.other_ports))
        ]
        for port in ports:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(control.HOST, port), GREETING_S
                )
            except (OSError, TimeoutError):
                continue
            session = Session(reader=reader, writer=writer)
            writer.write(f"STARTUP {host} caller-{self.zone}\r\n".encode())
            try:
                if (await session.line(GREETING_S)).startswith("READY"):
                    return session
            except BrokenSessionError:
                pass
            session.close()
        return None

    def _next_request(self) -> str:
        self.requests += 1
        return f"{self.zone}{self.requests:x}"

    def _statement(self, kind: figures.RouteKind, *, writes: bool) -> str:
        item = f"{kind.name}-{self.source.randrange(ITEMS)}"
        return f"WRITE {item} xkqpwnzd" if writes else f"READ {item}"

    async def _run_statement(self, session: Session, kind: figures.RouteKind) -> str:
        writes = self.source.random() < kind.writes
        limit_s = kind.timeout_s + 1.0
        text = self._statement(kind, writes=writes)
        if self.source.random() < PREPARED:
            access, _, arguments = text.partition(" ")
            name = f"s-{access.lower()}"
            if name not in session.prepared:
                prepare = f"PREPARE {name} {access} {kind.name}"
                if code := await session.query(self._next_request(), prepare, limit_s):
                    return code
                session.prepared.add(name)
            text = f"EXECUTE {name} {arguments}"
        request = self._next_request()
        code = await session.query(request, text, limit_s)
        if writes and not code:
            self.written.append(request)
        return code

    async def _run_transaction(self, session: Session, kind: figures.RouteKind) -> str:
        writes = self.source.random() < kind.writes
        limit_s = kind.timeout_s + 1.0
        begin = "BEGIN" if kind.writes else "BEGIN READ"
        first = ""
        code = await session.query(self._next_request(), begin, limit_s)
        for number in range(self.source.randint(1, 4)):
            if code:
                return code
            await asyncio.sleep(self.source.uniform(0.0, 0.03))
            request = self._next_request()
            if number == 0:
                first = request
            text = self._statement(kind, writes=writes and number == 0)
            code = await session.query(request, text, limit_s)
        end = "ROLLBACK" if self.source.random() < 0.1 else "COMMIT"
        code = code or await session.query(self._next_request(), end, limit_s)
        if writes and end == "COMMIT" and not code:
            self.written.append(first)
        return code


def _parse_instances(text: str) -> list[tuple[str, int]]:
    pairs = (pair.split("=") for pair in text.split(","))
    return [(zone, int(port)) for zone, port in pairs]


async def run(options: argparse.Namespace) -> dict:
    """Run the callers until standard input ends.

    Returns the counts of their operations, and the writes that were answered with success.
    """
    all_ports = [port for _, port in options.instances]
    zones = options.zones.split(",")
    callers = [
        Callers(
            zone=zone,
            ports=[port for each, port in options.instances if each == zone],
            other_ports=all_ports,
            size=options.size,
            rate=options.rate / len(zones),
            source=random.Random(f"{options.seed} {zone}"),
        )
        for zone in zones
    ]
    background = [asyncio.create_task(each.run()) for each in callers]
    await control.wait_for_end_of_input()
    for task in background:
        task.cancel()
    return {
        "counts": sum((each.counts for each in callers), collections.Counter()),
        "written": [request for each in callers for request in each.written],
    }


def main() -> None:
    """Run until standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=figures.decode_size, required=True)
    parser.add_argument("--seed", required=True)
    parser.add_argument("--zones", required=True, help="zones of the callers, by commas")
    parser.add_argument("--rate", type=float, required=True, help="operations per second of all")
    parser.add_argument(
        "--instances", type=_parse_instances, required=True, help="zone=port of callers,..."
    )
    print(json.dumps(asyncio.run(run(parser.parse_args()))), flush=True)


if __name__ == "__main__":
    main()
