"""TLS: callers, peers with certificates, rejected outsiders, keys replaced without a restart."""

import asyncio
import signal
import ssl

import asyncmy
import pytest

from mustardswitch import settings, tls
from mustardswitch.operators import errors as operator_errors
from mustardswitch.operators import instances
from mustardswitch_standins import certificates, fleet
from tests.common import processes


async def _start_with_tls(tmp_path):
    authority = certificates.Authority(name="fleet", directory=tmp_path / "keys")
    spec = fleet.FleetSpec(zones=fleet.CASCADE_ZONES)
    started = fleet.Fleet(spec=spec, directory=tmp_path)
    files = {entry.instance: authority.issue(entry.instance) for entry in started.entries}
    started.entry_settings = {
        name: {"tls": {"peers": own, "callers": own}} for name, own in files.items()
    }
    try:
        await started.start()
    except BaseException:
        await started.stop()
        raise
    return started, authority


async def _connect_tls(entry, authority_path):
    context = ssl.create_default_context(cafile=str(authority_path))
    context.check_hostname = False
    return await asyncmy.connect(
        host=fleet.HOST,
        port=entry.callers_port,
        user="baker",
        database="orders",
        autocommit=None,
        ssl=context,
    )


async def test_serves_callers_and_peers_over_tls_and_refuses_outsiders(tmp_path):
    started, authority = await _start_with_tls(tmp_path)
    try:
        for entry in started.entries:
            connection = await _connect_tls(entry, authority.path)
            cursor = connection.cursor()
            await cursor.execute("CREATE TABLE IF NOT EXISTS t (a INTEGER)")
            await cursor.execute("INSERT INTO t VALUES (1)")
            connection.close()
        entry = started.entries[0]
        outsider = certificates.Authority(name="outsider", directory=tmp_path / "outside")
        outsider_context = tls.operator_context(settings.TlsFiles(**outsider.issue("stranger")))
        for context in (None, outsider_context):
            with pytest.raises(operator_errors.InstanceUnreachableError):
                await instances.read_status(fleet.HOST, entry.peers_port, tls=context)
        member_context = tls.operator_context(settings.TlsFiles(**authority.issue("operator")))
        status = await instances.read_status(fleet.HOST, entry.peers_port, tls=member_context)
        assert len(status.members) == 6
    finally:
        await started.stop()


async def test_replaces_keys_without_a_restart(tmp_path):
    started, authority = await _start_with_tls(tmp_path)
    try:
        entry = started.entries[0]
        before = await _peer_certificate(entry, authority.path)
        kept = await _connect_tls(entry, authority.path)
        authority.issue(entry.instance)
        started.processes[entry.instance].popen.send_signal(signal.SIGHUP)

        async def replaced():
            return await _peer_certificate(entry, authority.path) != before

        await processes.eventually(replaced)
        cursor = kept.cursor()
        await cursor.execute("SELECT 1")
        assert await cursor.fetchall()
    finally:
        await started.stop()


async def _peer_certificate(entry, authority_path):
    connection = await _connect_tls(entry, authority_path)
    try:
        return connection._transport.get_extra_info("ssl_object").getpeercert(True)
    finally:
        connection.close()
        await asyncio.sleep(0)
