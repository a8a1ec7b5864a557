"""Runs the servers of one service as a process, controlled by the judge over a loopback port."""

import argparse
import asyncio
import dataclasses
import random
import time

from mustardswitch.internal import ids, promotion
from mustardswitch_standins import database_group
from mustardswitch_standins.full_run import busy_databases, control, figures, measured_group

REGISTRATION_S = 0.05
"""Interval between checks whether a server has to register."""


class DatabaseProgram:
    """The servers of a service, their registration and the faults that are injected."""

    def __init__(self, *, service: str, size: figures.Size, seed: str, store_port: int) -> None:
        self.service = service
        self.size = size
        self.source = random.Random(seed)
        self.group = measured_group.MeasuredGroup(service=service, size=size, source=self.source)
        self.databases = busy_databases.BusyDatabases(
            group=self.group, size=size, source=self.source
        )
        self.store = control.Client(port=store_port)
        self.written: dict[ids.ServerId, dict] = {}
        """Last accepted registration of each server."""
        self.retry_s: dict[ids.ServerId, float] = {}
        """Monotonic time before which a server does not register again after a failure."""
        self.unregistered: set[ids.ServerId] = set()
        """Servers that cannot reach the store."""
        self.cut_from_store: database_group.FakeServer | None = None
        """The server that was last cut off from the store."""
        self.heartbeat_late_s = 0.0
        """Limit on the delay of heartbeats."""
        self.due_s: dict[ids.ServerId, float] = {}
        """Monotonic time of each server's next heartbeat."""
        self.lost: database_group.FakeServer | None = None
        """The replica that ended for good without notice."""
        self.faults: set[asyncio.Task[None]] = set()

    async def run(self, control_port: int) -> None:
        """Serve until standard input ends."""
        await self.databases.start()
        await control.serve(control_port, self.handle)
        registration = asyncio.create_task(self._keep_registered())
        await control.wait_for_end_of_input()
        registration.cancel()

    async def handle(self, request: dict) -> dict:
        """Execute a request of the judge or of the store's program."""
        operation = request["operation"]
        if operation == "promote":
            name = ids.ServerId(request["id"])
            leads = self.group.primary is not None and self.group.primary.name == name
            accepted = self.group.call_promotion(name, request["listed"], request["holder"])
            return {"accepted": accepted, "leads": leads}
        if operation == "report":
            return {
                "promotions": [dataclasses.asdict(each) for each in self.group.promotions],
                "acknowledged_at_s": self.group.acknowledged_at_s,
                "events": self.group.events,
                "refused": sum(slots.refused for slots in self.databases.slots.values()),
            }
        if operation == "primary":
            primary = self.group.leader
            return {"id": primary.name, "zone": primary.zone}
        arguments = {key: value for key, value in request.items() if key != "operation"}
        fault = asyncio.create_task(getattr(self, f"fault_{operation}")(**arguments))
        self.faults.add(fault)
        fault.add_done_callback(self._end_fault)
        return {}

    def _end_fault(self, fault: asyncio.Task[None]) -> None:
        self.faults.discard(fault)
        if not fault.cancelled() and fault.exception() is not None:
            self.group.note(f"fault failed: {fault.exception()!r}")

    # Registration

    async def _keep_registered(self) -> None:
        while True:
            now_s = time.monotonic()
            for server in list(self.group.servers.values()):
                retry_s = max(self.retry_s.get(server.name, 0.0), server.listed_from_s)
                runs = server.up and server.name in self.databases.ports
                if runs and now_s >= retry_s and server.name not in self.unregistered:
                    await self._register(server)
            await asyncio.sleep(REGISTRATION_S)

    async def _register(self, server: database_group.FakeServer) -> None:
        entry = {
            "service": self.service,
            "addr": f"{control.HOST}:{self.databases.ports[server.name]}",
            "zone": server.zone,
            "version": "v1",
            "slots": self.size.slots,
            "state": "draining" if server.leaving else "ready",
            "warmup_left_ms": 0,
            "db_role": server.role.value,
            "born": server.born_ms,
        }
        now_s = time.monotonic()
        if entry == self.written.get(server.name) and now_s < self.due_s[server.name]:
            return
        server.registrations += 1
        try:
            answer = await self.store.call(
                "register", id=server.name, entry={**entry, "seq": server.registrations}
            )
            accepted = answer["accepted"]
        except (OSError, TimeoutError):
            accepted = False
        if accepted:
            server.was_listed = True
            self.written[server.name] = entry
            late_s = self.source.uniform(0.0, self.heartbeat_late_s)
            self.due_s[server.name] = now_s + figures.HEARTBEAT_S + late_s
        else:
            self.retry_s[server.name] = now_s + self.source.uniform(0.1, figures.RELISTED_S)

    # Faults

    async def fault_release(self, drain_s: float | None = None) -> None:
        """Replace the primary by a server that starts now, a little before the primary leaves.

        The primary ends ``drain_s`` after its report, by default that of the size.
        """
        former = self.group.leader
        await self.fault_replace(former)
        await asyncio.sleep(figures.LEAVE_DELAY_S)
        former.leaving = True
        self.group.note(f"{former.name} reports draining")
        await asyncio.sleep(self.size.drain_s if drain_s is None else drain_s)
        if former.name in self.group.servers:
            self.group.note(f"{former.name} has left as a {former.role.value}")
            self.databases.end(former, says_so=True)
            await self.store.call("remove", id=former.name)

    async def fault_replace(self, former: database_group.FakeServer | None = None) -> None:
        """Start a replica in the place of another or of the lost one.

        It is listed with its first heartbeat, which is due within the interval.
        """
        former = former or self.lost or self.group.leader
        listed_after_s = self.source.uniform(0.0, figures.HEARTBEAT_S)
        started = self.group.start_replacement(former, listed_after_s=listed_after_s)
        await self.databases.start_server(started)

    async def fault_crash(
        self,
        for_s: float,
        dark: bool = False,
        address_reused: bool = False,
        loses_sent: bool = False,
    ) -> None:
        """Crash the primary, which comes back with its log; a dark one resets no connection.

        If its ``address_reused`` until then, another process answers there. If it ``loses_sent``
        entries, replicas do not receive those that are on the way.
        """
        server = self.group.leader
        if loses_sent:
            self.group.undelivered_lost.add((server.name, server.starts))
        self.group.note(f"{server.name} crashes, dark: {dark}, address reused: {address_reused}")
        if dark:
            server.up, server.silent = False, True
        else:
            self.databases.crash(server.name, address_reused=address_reused)
        await asyncio.sleep(for_s)
        if dark:
            server.silent = False
            self.databases.crash(server.name, address_reused=True)
        await self.databases.reopen(server)
        self.group.restart(server, leads_again=True)
        self.group.note(f"{server.name} is back as a {server.role.value}")

    async def fault_end_primary(
        self, address_reused: bool = False, loses_sent: bool = False
    ) -> None:
        """End the primary for good without notice; see ``fault_crash`` for the arguments."""
        server = self.group.leader
        if loses_sent:
            self.group.undelivered_lost.add((server.name, server.starts))
        self.group.note(f"{server.name} ends for good, address reused: {address_reused}")
        self.databases.end(server, says_so=False, address_reused=address_reused)

    async def fault_lose(self) -> None:
        """End a replica for good without notice."""
        self.lost = self._pick_replicas(1)[0]
        self.group.note(f"{self.lost.name} is lost for good")
        self.databases.end(self.lost, says_so=False)

    async def fault_deaf(self, count: int, for_s: float, listed: bool = False) -> None:
        """Let some replicas, or only ``listed`` ones, receive nothing for a while."""
        chosen = self._pick_replicas(count, listed=listed)
        self.group.note(f"{', '.join(each.name for each in chosen)} receive nothing")
        for server in chosen:
            server.not_receiving = True
        await asyncio.sleep(for_s)
        for server in chosen:
            server.not_receiving = False
            self.group.catch_up(server)

    async def fault_lag(
        self, count: int, factor: float, for_s: float, listed: bool = False
    ) -> None:
        """Multiply the replication delay of some replicas, or only ``listed`` ones, for a while."""
        chosen = self._pick_replicas(count, listed=listed)
        self.group.note(f"{', '.join(each.name for each in chosen)} lag by {factor}")
        for server in chosen:
            self.group.lag_factors[server.name] = factor
        await asyncio.sleep(for_s)
        for server in chosen:
            self.group.lag_factors.pop(server.name, None)

    async def fault_cut(
        self, pids: list[int], for_s: float, one_way: bool, unregistered: bool = False
    ) -> None:
        """Cut the primary off from some instances, and from the store if ``unregistered``."""
        server = self.group.leader
        self.group.note(f"{server.name} is cut off from {len(pids)} instances, one way: {one_way}")
        cut = self.databases.cuts[server.name]
        cut.pids, cut.one_way = pids, one_way
        refreshing = asyncio.create_task(cut.keep_refreshed())
        if unregistered:
            self.unregistered.add(server.name)
        await asyncio.sleep(for_s)
        cut.pids = []
        refreshing.cancel()
        self.unregistered.discard(server.name)

    async def fault_cut_from_store(
        self, role: str, for_s: float, reborn_after_s: float | None = None
    ) -> None:
        """Cut a server with a role off from the store, but not from other servers.

        Its entry expires while it receives and confirms. If it is reborn, it crashes after that
        time, and a server with another id and an empty log starts at its address behind the cut.
        """
        is_primary = role == promotion.Role.PRIMARY.value
        server = self.group.leader if is_primary else self._pick_replicas(1, listed=True)[0]
        self.group.note(f"{server.name}, a {server.role.value}, is cut off from the store")
        ends_s = time.monotonic() + for_s
        self.unregistered.add(server.name)
        self.cut_from_store = server
        if reborn_after_s is not None:
            await asyncio.sleep(reborn_after_s)
            server = await self._start_another_in_place(server)
        await asyncio.sleep(ends_s - time.monotonic())
        self.databases.cuts[server.name].pids = []
        self.cut_from_store = None
        self.unregistered.discard(server.name)
        self.group.note(f"{server.name} reaches the store again")

    async def _start_another_in_place(
        self, former: database_group.FakeServer
    ) -> database_group.FakeServer:
        self.group.note(f"{former.name} crashes behind the cut")
        self.databases.end(former, says_so=False)
        started = self.group.start_replacement(former)
        started.log = []
        self.unregistered.add(started.name)
        self.cut_from_store = started
        await self.databases.start_in_place(started, former)
        return started

    async def fault_cut_instances(self, pids: list[int]) -> None:
        """Cut the server that is cut off from the store off from some instances as well."""
        if self.cut_from_store is None:
            return
        cut = self.databases.cuts[self.cut_from_store.name]
        is_new = not cut.pids
        cut.pids = pids
        if not is_new:
            return
        refreshing = asyncio.create_task(cut.keep_refreshed())
        while cut.pids:
            await asyncio.sleep(REGISTRATION_S)
        refreshing.cancel()

    async def fault_late_heartbeats(self, late_s: float, for_s: float) -> None:
        """Delay each heartbeat by up to a limit, so that entries may expire."""
        self.heartbeat_late_s = late_s
        await asyncio.sleep(for_s)
        self.heartbeat_late_s = 0.0

    async def fault_slow(
        self, delay_s: float, for_s: float, executes_late: bool, orders: bool = True
    ) -> None:
        """Delay all answers of the primary, or the execution of all requests.

        Without ``orders``, only what may commit is executed late, and its delays have a long tail.
        """
        server = self.group.leader
        self.group.note(f"{server.name} is {delay_s} s late, executes late: {executes_late}")
        databases = self.databases
        delays_s = databases.request_delays_s if executes_late else databases.answer_delays_s
        if not orders:
            delays_s = databases.statement_delays_s
        delays_s[server.name] = delay_s
        await asyncio.sleep(for_s)
        delays_s.pop(server.name, None)

    async def fault_stall(self, for_s: float) -> None:
        """Let the primary execute nothing for a while, and then what it has received."""
        server = self.group.leader
        self.group.note(f"{server.name} executes nothing for {for_s} s")
        self.databases.stalled.add(server.name)
        await asyncio.sleep(for_s)
        self.databases.stalled.discard(server.name)
        self.group.note(f"{server.name} goes on")

    async def fault_reset(self, share: float) -> None:
        """Reset a share of the open connections."""
        for writers in self.databases.writers.values():
            for writer in writers:
                if self.source.random() < share:
                    writer.transport.abort()

    async def fault_power_off(self, for_s: float) -> None:
        """Crash all servers, which come back with their logs at different times."""
        self.group.note("all servers lose power")
        servers = list(self.group.servers.values())
        for server in servers:
            self.databases.crash(server.name)
        await asyncio.sleep(for_s)
        for server in servers:
            await self.databases.reopen(server)
            self.group.restart(server, leads_again=True)
            await asyncio.sleep(self.source.uniform(0.0, 0.3))

    def _pick_replicas(
        self, count: int, *, listed: bool = False
    ) -> list[database_group.FakeServer]:
        replicas = [
            each
            for each in self.group.servers.values()
            if each is not self.group.leader
            and (each.was_listed and each.name not in self.unregistered or not listed)
        ]
        return self.source.sample(replicas, min(count, len(replicas)))


def main() -> None:
    """Run until standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--size", type=figures.decode_size, required=True)
    parser.add_argument("--seed", required=True)
    parser.add_argument("--port", type=int, required=True, help="control port")
    parser.add_argument("--store", type=int, required=True, help="control port of the store")
    options = parser.parse_args()
    program = DatabaseProgram(
        service=options.service,
        size=options.size,
        seed=options.seed,
        store_port=options.store,
    )
    asyncio.run(program.run(options.port))


if __name__ == "__main__":
    main()
