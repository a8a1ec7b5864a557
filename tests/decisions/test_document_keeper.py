"""The document keeper puts sections in force together and keeps the last valid text of each."""

import asyncio

from mustardswitch.document import sections
from mustardswitch.instance import document_keeper
from mustardswitch.internal import gossip, ids
from tests.common import builders, documents


def _record(name, text, version=1):
    payload = sections.encode_section(text=text, change_id="c", editor="e") if text else b""
    return gossip.Record(key=f"section/{name}", version=version, payload=payload)


def _keeper():
    documents_in_force = []
    keeper = document_keeper.DocumentKeeper(
        client=None,
        own=builders.member("here"),
        spread=None,
        candidates=list,
        on_document=documents_in_force.append,
        on_listed=lambda: None,
    )
    return keeper, documents_in_force


async def _apply(keeper, *records):
    for record in records:
        keeper.apply_record(record)
    await asyncio.sleep(0)


async def test_checks_sections_that_arrive_together_once():
    keeper, in_force = _keeper()
    await _apply(keeper, *(_record(name, text) for name, text in documents.texts().items()))
    assert len(in_force) == 1
    assert list(keeper.document.databases) == ["orders", "batches"]


async def test_keeps_the_good_section_when_another_arrives_broken():
    keeper, _ = _keeper()
    texts = documents.texts()
    broken = texts[ids.SectionName("service-bakery")].replace("puget-b", "nowhere")
    fleet = _record("fleet", texts[ids.SectionName("fleet")])
    await _apply(keeper, fleet, _record("service-bakery", broken))
    assert keeper.document.databases == {}
    assert keeper.document.region_by_zone["puget-a"] == "puget"
    await _apply(keeper, _record("service-bakery", documents.BAKERY, version=2))
    await _apply(keeper, _record("service-bakery", broken, version=3))
    assert list(keeper.document.databases) == ["orders", "batches"]


async def test_takes_a_removed_section_out_of_force():
    keeper, _ = _keeper()
    await _apply(keeper, *(_record(name, text) for name, text in documents.texts().items()))
    await _apply(keeper, _record("service-bakery", "", version=2))
    assert keeper.document.databases == {}
