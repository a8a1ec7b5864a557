"""Changes to the document: concurrent edits, lost answers, outages, rollout to all instances."""

import asyncio
import json
import sys

import pytest
import ruamel.yaml

from mustardswitch.document import errors as document_errors
from mustardswitch.etcd import store
from mustardswitch.internal import ids
from mustardswitch.operators import edits, instances
from mustardswitch_standins import fleet
from tests.common import processes

BAKERY = ids.SectionName("service-bakery")
MAX_ROLLOUT_S = 6.0
"""Seconds within which a change must be in force on all instances."""


def _parsed(text):
    return ruamel.yaml.YAML(typ="safe").load(text)


def _open_store(started):
    return store.Store(host=fleet.HOST, port=started.platform_port)


async def _edit(document, change, change_id, base=None):
    current = base or (await document.read_all())[BAKERY]
    text = _parsed(current.text)
    change(text)
    return await document.apply(
        edits.Edit(
            name=BAKERY,
            base=current.text,
            base_revision=current.revision,
            text=json.dumps(text, indent=1),
            change_id=change_id,
            editor="tests",
        )
    )


async def _wait_until_in_force(started, revision, entries=None):
    async def everywhere():
        statuses = [
            await instances.read_status(fleet.HOST, entry.peers_port)
            for entry in entries or started.entries
        ]
        return all(
            any(item.name == BAKERY and item.revision >= revision for item in status.sections)
            for status in statuses
        )

    await processes.eventually(everywhere, within_s=MAX_ROLLOUT_S)


def _set_field(field, value):
    def change(text):
        text[field] = value

    return change


async def test_is_in_force_everywhere_within_seconds_and_never_reverts(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        client = _open_store(started)
        document = edits.DocumentStore(client=client)
        for number in range(5):
            applied = await _edit(
                document, _set_field("replica_wait_ms", 20 + number), f"c{number}"
            )
            await _wait_until_in_force(started, applied.revision)
        client.close()


async def test_merges_two_teams_edits_at_the_same_moment(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        clients = [_open_store(started), _open_store(started)]
        documents = [edits.DocumentStore(client=client) for client in clients]
        base = (await documents[0].read_all())[BAKERY]
        await asyncio.gather(
            _edit(documents[0], _set_field("replica_wait_ms", 11), "first", base),
            _edit(documents[1], _set_field("statement_deadline_s", 4.0), "second", base),
        )
        text = _parsed((await documents[0].read_all())[BAKERY].text)
        assert (text["replica_wait_ms"], text["statement_deadline_s"]) == (11, 4.0)
        with pytest.raises(document_errors.EditConflictError):
            await _edit(documents[0], _set_field("replica_wait_ms", 12), "third", base)
        for client in clients:
            client.close()


async def test_applies_once_when_the_answer_is_lost(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        client = _open_store(started)
        document = edits.DocumentStore(client=client)
        before = (await document.read_all())[BAKERY]
        await _lose_answers(client, 1)
        applied = await _edit(document, _set_field("replica_wait_ms", 44), "lost")
        after = (await document.read_all())[BAKERY]
        assert after.revision == applied.revision
        assert [change.change_id for change in after.recent] == ["lost"]
        assert before.revision < after.revision
        await _wait_until_in_force(started, applied.revision)
        client.close()


async def _lose_answers(client, count):
    known = await client.read("standin/faults")
    value = json.dumps({"lose_answers": count}).encode()
    await client.compare_and_swap(
        "standin/faults", value, expected_revision=known.revision if known else 0
    )


async def test_reaches_zones_that_are_cut_off_from_the_store_through_peers(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        for zone in ("puget-b", "willamette-a"):
            started.links.cut_both(zone, "platform")
        client = _open_store(started)
        document = edits.DocumentStore(client=client)
        applied = await _edit(document, _set_field("replica_wait_ms", 33), "cut")
        await _wait_until_in_force(started, applied.revision)
        client.close()


async def test_sends_changes_to_a_cut_off_zone_once_it_is_back(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        started.links.isolate("willamette-a", ["puget-a", "puget-b", "platform"])
        client = _open_store(started)
        document = edits.DocumentStore(client=client)
        applied = await _edit(document, _set_field("replica_wait_ms", 33), "cut")
        near = [entry for entry in started.entries if entry.zone != "willamette-a"]
        await _wait_until_in_force(started, applied.revision, near)
        started.links.heal()
        await _wait_until_in_force(started, applied.revision)
        client.close()


async def test_keeps_an_accepted_change_over_an_outage_and_a_fresh_instance(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        client = _open_store(started)
        document = edits.DocumentStore(client=client)
        applied = await _edit(document, _set_field("replica_wait_ms", 33), "kept")
        await _wait_until_in_force(started, applied.revision)
        started.processes["platform"].pause()
        entry = started.entries[0]
        started.processes[entry.instance].kill()
        seed = started.entries[1]
        started.start_entry(entry, seeds=[_seed(seed)])
        await started.wait_ready(entry)
        await _wait_until_in_force(started, applied.revision)
        client.close()


def _seed(entry):
    return {
        "instance": entry.instance,
        "zone": entry.zone,
        "region": entry.region,
        "host": fleet.HOST,
        "port": entry.peers_port,
    }


async def test_gives_a_leaving_slot_no_new_work(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        client = _open_store(started)
        document = edits.DocumentStore(client=client)
        primary = await started.wait_primary("orders")

        def leave(text):
            for slot in text["databases"][0]["slots"]:
                slot["leaving"] = slot["id"] == primary.slot

        caller = await processes.caller(started.entries[0])
        await caller.run("INSERT INTO effects VALUES ('s', 'a')")
        applied = await _edit(document, leave, "leave")
        await _wait_until_in_force(started, applied.revision)

        async def handed_over():
            return (await started.wait_primary("orders")).slot != primary.slot

        await processes.eventually(handed_over)
        await caller.run("INSERT INTO effects VALUES ('s', 'b')")
        await asyncio.sleep(1.0)
        before = await started.slot_call(primary, "reads")
        for entry in started.entries:
            reader = await processes.caller(entry)
            for _ in range(20):
                assert len(await reader.run("SELECT op FROM effects")) == 2
        after = await started.slot_call(primary, "reads")
        assert after == before
        client.close()


async def _run_mustardctl(started, *arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mustardswitch.programs.mustardctl",
        *arguments,
        env={**fleet.environment(), "MUSTARDCTL_STORE": f"{fleet.HOST}:{started.platform_port}"},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, error = await process.communicate()
    return process.returncode, out.decode(), error.decode()


async def test_operators_drive_it_by_the_command_line(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        code, out, _ = await _run_mustardctl(
            started, "document", "show", BAKERY, "--output", "json"
        )
        assert code == 0
        (shown,) = json.loads(out)
        path = tmp_path / "bakery.yaml"
        path.write_text(shown["text"].replace('"owner": "bakery team"', '"owner": "bakers"'))
        code, out, _ = await _run_mustardctl(started, "document", "check", BAKERY, str(path))
        assert code == 0
        code, out, _ = await _run_mustardctl(started, "document", "diff", BAKERY, str(path))
        assert '+ "owner": "bakers"' in out
        code, out, error = await _run_mustardctl(
            started, "document", "apply", BAKERY, str(path), "--as", "ana", "--summary", "owner"
        )
        assert (code, error) == (0, "")
        assert "in force on all 6 instances" in out
        code, out, _ = await _run_mustardctl(started, "document", "history", BAKERY)
        assert "ana" in out
        path.write_text(shown["text"].replace('"zone": "puget-a"', '"zone": "nowhere"'))
        code, out, error = await _run_mustardctl(started, "document", "apply", BAKERY, str(path))
        assert code == 2
        assert "availability zone 'nowhere' is not in the section fleet" in error
        address = f"{fleet.HOST}:{started.entries[0].peers_port}"
        code, out, _ = await _run_mustardctl(
            started, "status", "--instance", address, "--output", "json"
        )
        assert code == 0
        assert len(json.loads(out)) == 6
