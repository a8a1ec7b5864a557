"""A deployment of twelve instances, in which some forward statements to gateways.

It has the machines of a site with 9 machines in 3 zones after 3 spare ones were added, and databases
that accept 23 connections each.
"""

import re
import urllib.request

import deployment_3 as deployment
import platform_3 as platform
import proxy_3 as proxy

ZONES = ["a"] * 5 + ["b"] * 4 + ["c"] * 3
OLD, NEW = "huvo11a", "mesi04f"
"""The same instances of the smallest zone are gateways of both services."""
MAX_CONNS = 23
PROBES = 8


def configure(version, kind, service):
    made = deployment.configuration(service, [kind], version=version)
    made["routes"][0]["timeout_ms"] = 800
    made["routes"][0]["max_staleness_ms"] = 2500
    made["services"] = [
        {"name": each, "max_conns": MAX_CONNS, "sync_replicas": 1} for each in (OLD, NEW)
    ]
    return made


def forwarded(instance):
    """Return how many statements an instance has run for others."""
    url = f"http://127.0.0.1:{instance.ready}/metrics"
    text = urllib.request.urlopen(url, timeout=2).read().decode()
    found = re.search(r"statements_run_for_others_total ([\d.]+)", text)
    return float(found[1]) if found else 0.0


class Forwarding:
    """The instances, the databases of two services, and a link to the store for each instance."""

    def __init__(self, record, kind, group_type=platform.Group):
        self.record, self.kind = record, kind
        self.groups = {name: group_type(name, record) for name in (OLD, NEW)}
        self.store = platform.Store(record, self._promote)
        self.system = deployment.Deployment(record, self.groups[OLD], self.store)
        self.links = {}

    def _promote(self, service, name):
        return self.groups[service].promote(service, name)

    async def start(self):
        await self.store.start()
        for rank, zone in enumerate(ZONES):
            name = f"edge-{zone}-{rank + 1}"
            self.links[name] = proxy.Proxy()
            await self.links[name].start(self.store.port)
            self.system.store_ports[name] = self.links[name].port
        await self.groups[NEW].start()
        self.system.keep(self.groups[NEW].keep_registered(self.store))
        await self.system.start(configure(3, self.kind, OLD), zones=ZONES)

    async def find_entry(self):
        """Return an instance of the smallest zone, and the gateways to which it forwards in turn."""
        near = [each for each in self.system.instances if each.zone == "c"]
        for entry in near:
            before = {each.name: forwarded(each) for each in near}
            client = await entry.session(f"db-{self.kind}")
            for _ in range(PROBES):
                await client.query("READ 1a0")
            client.close()
            used = [each for each in near if forwarded(each) >= before[each.name] + 2]
            if len(used) == 2 and entry not in used:
                names = " and ".join(each.name for each in used)
                self.record.note(f"{entry.name} forwards to {names} in turn")
                return entry, used
        raise RuntimeError("no instance forwards to two gateways in turn")

    def move(self, version):
        """Let the operator move the route to the other service."""
        self.store.put_json("op/config", configure(version, self.kind, NEW))
        self.record.note(f"operator: version {version} is acknowledged; the route leads to {NEW}")

    def cut(self, instance, silent):
        """Cut an instance off from the store, which serves the others, or end that."""
        self.links[instance.name].silent = silent
        self.record.note(
            f"{instance.name}: the cut from the store {'begins' if silent else 'ends'}"
        )
