"""Asks an instance on the users' platform where a statement would go, and shows its answer."""

import collections.abc
import json
import typing
import urllib.parse

from mustardswitch import http_calls
from mustardswitch.operators import errors
from mustardswitch.proxy import explain_page

TIMEOUT_S = 5.0
"""Time for the connection and the answer; an instance that serves answers within milliseconds."""
OK = 200

Fields = collections.abc.Mapping[str, typing.Any]


async def fetch(host: str, port: int, *, database: str, tenant: str, kind: str) -> Fields:
    """Return the fields of an explanation (``proxy.explanation.Explanation``).

    Raises InstanceUnreachableError without an answer, and RefusedError with the instance's reason.
    """
    query = urllib.parse.urlencode({"database": database, "tenant": tenant, "kind": kind})
    connection = http_calls.Connection(host=host, port=port)
    try:
        response = await connection.call("GET", f"{explain_page.PATH}?{query}", timeout_s=TIMEOUT_S)
    except http_calls.CallError as error:
        raise errors.InstanceUnreachableError(
            f"instance {host}:{port} gave no answer; check that it runs and that the port is that"
            " of its metrics address"
        ) from error
    finally:
        connection.close()
    try:
        found = json.loads(response.body)
        if response.status != OK:
            raise errors.RefusedError(f"instance {host}:{port}: {found['error']}")
        return dict(found)
    except (ValueError, KeyError, TypeError) as error:
        raise errors.RefusedError(
            f"{host}:{port} answered with status {response.status} and no explanation; give the"
            " metrics address of an instance of this version"
        ) from error


def render(found: Fields) -> str:
    """Return an explanation as lines for people."""
    route = found["route"]
    tenant = f", tenant {found['tenant']}" if found["tenant"] else ""
    lines = [
        f"{found['kind']} on database {found['database']}{tenant}: {found['verdict']}",
        f"asked: instance {found['instance']} in zone {found['zone']}, configuration version"
        f" {found['version']}",
        f"route: service {route['service']}, type {route['type']}, priority {route['priority']},"
        f" time limit {route['timeout_s']:g} s",
    ]
    if found["limit"] is not None:
        lines.append(_render_limit(found["limit"]))
    lines += [f"note: {each}" for each in found["notes"]]
    lines += _render_gateways(found)
    if found["min_position"] is not None:
        lines.append(f"minimum position: {found['min_position']}")
    lines.append(f"leader: {found['leader'] or 'none is known'}")
    lines += _render_servers(found)
    return "\n".join(lines)


def _render_limit(limit: Fields) -> str:
    state = "admits the next operation"
    if not limit["admits"]:
        state = "refuses, nothing flows in"
        if limit["retry_s"] is not None:
            state = f"refuses, next operation in {limit['retry_s']:.3f} s"
    role = "home" if limit["is_home"] else "no home"
    if limit["waiting"]:
        role += ", waits for a former home"
    if not limit["connected"]:
        role += ", list of instances outdated"
    return (
        f"rate limit: {limit['rate_per_s']:g}/s, burst {limit['burst']:g}; here ({role}):"
        f" {state}; {limit['available']:.1f} available, {limit['held_per_s']:.1f}/s held,"
        f" {limit['lent_per_s']:.1f}/s lent, {limit['borrowed_per_s']:.1f}/s borrowed;"
        f" homes: {', '.join(limit['homes']) or 'none'}"
    )


def _render_gateways(found: Fields) -> list[str]:
    lines = [
        f"gateway {rank}: {each['instance']} at {each['address']}"
        + "".join(f"; {reason}" for reason in each["reasons"])
        for rank, each in enumerate(found["gateways"], start=1)
    ]
    return lines + _render_rest("gateways", found["gateways_found"] - len(lines))


def _render_servers(found: Fields) -> list[str]:
    lines = []
    for rank, each in enumerate(found["servers"], start=1):
        pool = each["pool"]
        ahead = f" behind {pool['ahead']}" if pool["ahead"] else ""
        why = f" ({pool['reason']})" if pool["reason"] else ""
        lines.append(
            f"server {rank}: {each['server']} in zone {each['zone']}; cost {each['cost_s']:.4f} s,"
            f" latency {each['latency_s']:.4f} s, {each['in_flight']} in flight"
            + "".join(f"; {reason}" for reason in each["reasons"])
            + f"; pool: {pool['action']}{ahead}{why}, {pool['busy']} busy, {pool['idle']} idle,"
            f" {pool['opening']} opening of {pool['size']}, {pool['allowed']} allowed"
        )
    return lines + _render_rest("servers", found["servers_found"] - len(lines))


def _render_rest(what: str, count: int) -> list[str]:
    return [f"and {count} more {what}"] if count > 0 else []
