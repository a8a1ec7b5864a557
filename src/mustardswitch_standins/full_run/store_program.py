"""Runs the store and the promotion call as a process, with a port for each instance."""

import argparse
import asyncio
import json
import time

from mustardswitch.proxy import fleet_records
from mustardswitch_standins import http_store, links
from mustardswitch_standins.full_run import control, figures

STORE = "store"
"""Name of the store's end of the link from each instance."""
EXPIRY_CHECK_S = 0.1
HOLDER_WAIT_S = 4.0
"""Longest wait for a promotion of a present primary in one request."""


class ForwardingStore(http_store.HttpStore):
    """A store whose promotion call is executed by the process of the service's servers."""

    def __init__(self, *, databases: dict[str, control.Client]) -> None:
        super().__init__(promote=lambda service, server, token: False)
        self.databases = databases
        self.late_calls: set[asyncio.Task[tuple[int, dict]]] = set()
        """Promotion calls that are executed later, without an answer."""
        self.holders: asyncio.Queue[str] = asyncio.Queue()
        """Instances whose promotions of present primaries were accepted."""
        self.lose_answers = 0
        """Number of further accepted promotions whose answers are lost."""

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes, headers: dict[str, str]
    ) -> tuple[int, dict]:
        if path != "/promote":
            return await super()._answer(path, query, body, headers)
        call = json.loads(body), int(headers["fencing-token"]), headers.get("lease-holder", "")
        if self.promotion_delay_s is None:
            return await self._forward(*call)
        late = asyncio.create_task(self._forward_late(*call, delay_s=self.promotion_delay_s))
        self.late_calls.add(late)
        late.add_done_callback(self.late_calls.discard)
        raise OSError("the answer is lost")

    async def _forward_late(
        self, fields: dict, token: int, holder: str, *, delay_s: float
    ) -> tuple[int, dict]:
        await asyncio.sleep(delay_s)
        return await self._forward(fields, token, holder)

    async def _forward(self, fields: dict, token: int, holder: str) -> tuple[int, dict]:
        """Let the service's process execute a call, unless its token is outdated by now."""
        service = fields["service"]
        if token < self.tokens.get(service, 0) or service not in self.databases:
            return 409, {}
        self.tokens[service] = token
        listed = [key.partition("/")[2] for key in self.keys if key.startswith("servers/")]
        answer = await self.databases[service].call(
            "promote", id=fields["id"], listed=listed, holder=holder
        )
        if not answer["accepted"]:
            return 409, {}
        if answer.get("leads"):
            self.holders.put_nowait(holder)
        if self.lose_answers:
            self.lose_answers -= 1
            raise OSError("the answer is lost")
        return 200, {}

    async def listen(self, port: int) -> None:
        """Accept calls on a further port."""
        await asyncio.start_server(self._serve, control.HOST, port)


class StoreProgram:
    """The store, the servers' registrations and the faults that are injected."""

    def __init__(
        self, *, size: figures.Size, databases: dict[str, int], instances: dict[str, int]
    ) -> None:
        self.size = size
        self.instances = instances
        """Port over which each instance reaches the store."""
        clients = {service: control.Client(port=port) for service, port in databases.items()}
        self.store = ForwardingStore(databases=clients)
        self.links = links.LinkSet()
        self.expires_at_s: dict[str, float] = {}
        """Monotonic time at which each server's entry is removed unless it registers again."""
        self.down = False
        """Whether servers cannot register."""
        self.lapses = False
        """Whether entries expire although the store is down."""
        self.faults: set[asyncio.Task[None]] = set()

    async def run(self, *, control_port: int, store_port: int, promotion_port: int) -> None:
        """Serve until standard input ends; the store is one that instances have used before."""
        await self.store.listen(store_port)
        await self.store.listen(promotion_port)
        for name, port in self.instances.items():
            await self.links.listen(
                links.Listener(source=name, target=STORE, port=port, target_port=store_port)
            )
        self.store.put(f"{fleet_records.ERAS}{self.store.era}", b"")
        self.store.put("op/config", json.dumps(figures.configuration(self.size)).encode())
        await control.serve(control_port, self.handle)
        expiry = asyncio.create_task(self._expire_entries())
        await control.wait_for_end_of_input()
        expiry.cancel()

    async def handle(self, request: dict) -> dict:
        """Execute a request of the judge or of a server."""
        operation = request.pop("operation")
        if operation == "register":
            if not self.down:
                key = f"servers/{request['id']}"
                self.store.put(key, json.dumps(request["entry"]).encode())
                self.expires_at_s[key] = time.monotonic() + figures.ENTRY_EXPIRY_S
            return {"accepted": not self.down}
        if operation == "remove":
            self._remove(f"servers/{request['id']}")
            return {}
        if operation == "holder":
            return {"name": await self._next_holder()}
        fault = asyncio.create_task(getattr(self, f"fault_{operation}")(**request))
        self.faults.add(fault)
        fault.add_done_callback(self.faults.discard)
        return {}

    async def _next_holder(self) -> str | None:
        """Wait for the next accepted promotion of a present primary; None if there is none soon."""
        try:
            async with asyncio.timeout(HOLDER_WAIT_S):
                return await self.store.holders.get()
        except TimeoutError:
            return None

    def _remove(self, key: str) -> None:
        self.expires_at_s.pop(key, None)
        self.store.delete(key)

    async def _expire_entries(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now_s = time.monotonic()
            for key, expires_at_s in list(self.expires_at_s.items()):
                if self.down and not self.lapses:
                    self.expires_at_s[key] = now_s + figures.ENTRY_EXPIRY_S
                elif now_s >= expires_at_s:
                    self._remove(key)

    async def fault_turn_away(
        self, names: list[str], for_s: float, silent: bool, revokes: bool = False
    ) -> None:
        """Turn instances away: answer nothing if ``silent``, and else reset their connections.

        If it ``revokes`` their registrations, their leases end at once.
        """
        rules = []
        for name in names:
            rules += [self.links.rule(name, STORE), self.links.rule(STORE, name)]
        for rule in rules:
            rule.cut, rule.refuses = silent, not silent
        if not silent:
            for name in names:
                self.links.break_connections(name, STORE)
        if revokes:
            for name in names:
                self.store.end_lease_of(f"{fleet_records.INSTANCES}{name}")
        await asyncio.sleep(for_s)
        for rule in rules:
            rule.cut = rule.refuses = False

    async def fault_outage(self, for_s: float, silent: bool, lapses: bool) -> None:
        """Let nobody reach the store for a while."""
        self.down, self.lapses = True, lapses
        if lapses:
            # An outage with a lapse outlasts the expiry of all entries.
            for key in self.expires_at_s:
                self.expires_at_s[key] = min(
                    self.expires_at_s[key], time.monotonic() + max(0.0, for_s - 1.0)
                )
        await self.fault_turn_away(list(self.instances), for_s, silent)
        self.down = self.lapses = False

    async def fault_delay_promotions(self, for_s: float, delay_s: float) -> None:
        """Execute promotion calls with a delay and without an answer for a while."""
        self.store.promotion_delay_s = delay_s
        await asyncio.sleep(for_s)
        self.store.promotion_delay_s = None

    async def fault_configure(self, version: int, timeout_factor: float, added: bool) -> None:
        """Write a newer configuration with other time-outs, and with a route more if ``added``."""
        configuration = figures.configuration(
            self.size, version=version, timeout_factor=timeout_factor, added=added
        )
        self.store.put("op/config", json.dumps(configuration).encode())

    async def fault_lose_answers(self, count: int) -> None:
        """Lose the answers to the next accepted promotions."""
        self.store.lose_answers = count

    async def fault_slow(self, for_s: float, delay_s: float) -> None:
        """Delay all calls of the instances for a while."""
        rules = [self.links.rule(name, STORE) for name in self.instances]
        for rule in rules:
            rule.delay_s = delay_s
        await asyncio.sleep(for_s)
        for rule in rules:
            rule.delay_s = 0.0


def _parse_ports(text: str) -> dict[str, int]:
    pairs = (pair.split("=") for pair in text.split(","))
    return {name: int(port) for name, port in pairs}


def main() -> None:
    """Run until standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=figures.decode_size, required=True)
    parser.add_argument("--port", type=int, required=True, help="control port")
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--promotion-port", type=int, required=True)
    parser.add_argument(
        "--databases", type=_parse_ports, required=True, help="service=control port,..."
    )
    parser.add_argument("--instances", type=_parse_ports, required=True, help="name=port,...")
    options = parser.parse_args()
    program = StoreProgram(
        size=options.size,
        databases=options.databases,
        instances=options.instances,
    )
    asyncio.run(
        program.run(
            control_port=options.port,
            store_port=options.store_port,
            promotion_port=options.promotion_port,
        )
    )


if __name__ == "__main__":
    main()
