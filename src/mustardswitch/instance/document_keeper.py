"""Holds the document in force: receives sections, checks them together, applies the valid ones.

A few watchers per availability zone read the store; all other instances receive sections from peers
by gossip, also while the store is unavailable. A section is applied only at a higher revision than
the known one.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import pydantic

from mustardswitch import events
from mustardswitch.document import errors as document_errors
from mustardswitch.document import models, sections
from mustardswitch.etcd import errors as platform_errors
from mustardswitch.etcd import instances, store
from mustardswitch.internal import gateways, gossip, ids, membership

SECTION_KIND = "section/"
LISTED_KIND = "listed/"
WATCHERS_PER_ZONE = 2
STORE_RETRY_DELAY_S = 0.5
WATCHER_CHECK_INTERVAL_S = 1.0
REREAD_INTERVAL_S = 30.0
"""Seconds between reads of a whole prefix that is watched."""


def listed_member(listed: instances.ListedInstance) -> membership.Member:
    """Convert an entry of the instance list to a member that has not answered yet.

    Its incarnation is 0, lower than any that an instance announces itself.
    """
    return membership.Member(
        instance=ids.InstanceId(listed.instance),
        zone=ids.ZoneName(listed.zone),
        region=ids.RegionName(listed.region),
        host=listed.host,
        port=listed.port,
        state=membership.MemberState.ALIVE,
        leaving=False,
        incarnation=0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ParsedSection:
    """A section's text, and the section parsed from it."""

    text: str
    section: models.Section


class Spread(typing.Protocol):
    """Sends records to the fleet; see ``gossip_service.GossipService.spread``."""

    def __call__(self, records: list[gossip.Record], *, learned: bool = False) -> None:
        """Merge records, and forward the urgent ones that are new."""


class DocumentKeeper:
    """Holds the document in force and watches the store when this instance is a watcher."""

    def __init__(
        self,
        *,
        client: store.Store,
        own: membership.Member,
        spread: Spread,
        candidates: collections.abc.Callable[[], list[gateways.Candidate]],
        on_document: collections.abc.Callable[[sections.Document], None],
        on_listed: collections.abc.Callable[[], None],
    ) -> None:
        self.client = client
        self.own = own
        self.spread = spread
        self.candidates = candidates
        self.on_document = on_document
        self.on_listed = on_listed
        self.stored: dict[ids.SectionName, sections.StoredSection] = {}
        self.changed: set[ids.SectionName] = set()
        self.parsed: dict[ids.SectionName, _ParsedSection] = {}
        self.valid_texts: dict[ids.SectionName, str] = {}
        self.document = sections.Document(sections={})
        self.listed: dict[ids.InstanceId, instances.ListedInstance] = {}
        self.store_reachable = False
        self.has_instance_list = False

    @property
    def is_watcher(self) -> bool:
        """Whether this instance reads the store: for its zone, or because it has no section yet."""
        near = [candidate for candidate in self.candidates() if candidate.zone == self.own.zone]
        ranked = gateways.ranked(near, f"watcher|{self.own.zone}")
        return not self.document.sections or self.own.instance in ranked[:WATCHERS_PER_ZONE]

    def apply_record(self, record: gossip.Record) -> None:
        """Apply a record of a section or a listed instance that is newer than the known one."""
        if record.key.startswith(SECTION_KIND):
            self._apply_section(record)
        elif record.key.startswith(LISTED_KIND):
            self._apply_listed(record)

    def _apply_section(self, record: gossip.Record) -> None:
        name = ids.SectionName(record.key.removeprefix(SECTION_KIND))
        if not record.payload:
            self.stored.pop(name, None)
            self._schedule_check(name)
            return
        try:
            stored = sections.decode_section(name, record.version, record.payload)
        except document_errors.InvalidDocumentError as error:
            events.log(events.Event.SECTION_REJECTED, section=name, error=error)
            return
        self.stored[name] = stored
        self._schedule_check(name)

    def _schedule_check(self, name: ids.SectionName) -> None:
        """Schedule one check for all sections that arrive together.

        A check covers all sections. One check for each section that arrives would take a time
        quadratic in their number, during which a starting instance answers no requests.
        """
        if not self.changed:
            asyncio.get_running_loop().call_soon(self._check_changed)
        self.changed.add(name)

    def _check_changed(self) -> None:
        """Apply all sections, or else each changed one that is valid with the sections in force."""
        changed, self.changed = self.changed, set()
        complete = {name: stored.text for name, stored in self.stored.items()}
        if not self._apply_if_valid(complete):
            return
        for name in sorted(changed):
            texts = {key: text for key, text in self.valid_texts.items() if key != name}
            if name in complete:
                texts[name] = complete[name]
            problems = self._apply_if_valid(texts)
            if problems:
                shown = "; ".join(map(str, problems))
                events.log(events.Event.SECTION_REJECTED, section=name, error=shown)

    def _apply_if_valid(self, texts: dict[ids.SectionName, str]) -> list[document_errors.Problem]:
        """Apply texts if they are valid together, or return their problems."""
        try:
            parsed = {name: self._parse(name, text) for name, text in texts.items()}
            problems = _blocking_problems(sections.check_across_sections(parsed, texts), parsed)
        except document_errors.InvalidDocumentError as error:
            return error.problems
        if not problems:
            self._install(texts, sections.Document(sections=parsed))
        return problems

    def _parse(self, name: ids.SectionName, text: str) -> models.Section:
        """Parse a section, or return the cached result if its text is unchanged."""
        known = self.parsed.get(name)
        if known is None or known.text != text:
            section = sections.parse_section(name, text)
            known = self.parsed[name] = _ParsedSection(text=text, section=section)
        return known.section

    def _install(self, texts: dict[ids.SectionName, str], document: sections.Document) -> None:
        self.valid_texts = texts
        self.document = document
        events.log(events.Event.SECTION_APPLIED, sections=sorted(texts))
        self.on_document(document)

    def _apply_listed(self, record: gossip.Record) -> None:
        name = ids.InstanceId(record.key.removeprefix(LISTED_KIND))
        if record.payload:
            try:
                self.listed[name] = instances.ListedInstance.model_validate_json(record.payload)
            except pydantic.ValidationError as error:
                events.log(events.Event.SECTION_REJECTED, section=record.key, error=error)
                return
        else:
            self.listed.pop(name, None)
        self.on_listed()

    async def run(self) -> None:
        """Watch the store while this instance is a watcher, until cancelled."""
        while True:
            if not self.is_watcher:
                await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                async with asyncio.TaskGroup() as tasks:
                    tasks.create_task(self._follow(sections.SECTION_PREFIX, SECTION_KIND))
                    tasks.create_task(self._follow(instances.INSTANCE_PREFIX, LISTED_KIND))
                    tasks.create_task(self._stop_when_replaced())
            except* platform_errors.PlatformError as failures:
                self._note_unavailable(failures)
            except* _NoLongerWatcher:
                pass
            await asyncio.sleep(STORE_RETRY_DELAY_S)

    def _note_unavailable(self, failures: BaseExceptionGroup) -> None:
        if self.store_reachable:
            events.log(events.Event.STORE_UNAVAILABLE, error=failures.exceptions[0])
        self.store_reachable = False

    async def _stop_when_replaced(self) -> None:
        while self.is_watcher:
            await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
        raise _NoLongerWatcher

    async def _follow(self, prefix: str, kind: str) -> None:
        """Read a prefix, watch it from that revision on, and repeat after ``REREAD_INTERVAL_S``.

        The repeated read finds changes and removals that a watch missed after a reconnect.
        """
        while True:
            snapshot = await self.client.read_prefix(prefix)
            if not self.store_reachable:
                events.log(events.Event.STORE_AVAILABLE)
            self.store_reachable = True
            self._spread_snapshot(snapshot, prefix, kind)
            try:
                async with asyncio.timeout(REREAD_INTERVAL_S):
                    await self._watch(prefix, kind, snapshot.revision + 1)
            except TimeoutError:
                continue

    async def _watch(self, prefix: str, kind: str, start_revision: int) -> None:
        changes = self.client.watch_prefix(prefix, start_revision=start_revision)
        async for change in changes:
            self.spread([_record(change, prefix, kind)])
        raise platform_errors.StoreUnavailableError(f"watch of {prefix} ended")

    def _spread_snapshot(self, snapshot: store.Snapshot, prefix: str, kind: str) -> None:
        records = [_record(value, prefix, kind) for value in snapshot.values]
        present = {record.key for record in records}
        known = (
            [f"{SECTION_KIND}{name}" for name in self.stored]
            if kind == SECTION_KIND
            else [f"{LISTED_KIND}{name}" for name in self.listed]
        )
        removed = [
            gossip.Record(key=key, version=snapshot.revision, payload=b"")
            for key in known
            if key not in present
        ]
        self.spread([*records, *removed], learned=True)
        self.has_instance_list = self.has_instance_list or kind == LISTED_KIND


class _NoLongerWatcher(Exception):
    """Raised in the tasks that watch the store when this instance is no watcher any more."""


def _record(value: store.StoredValue, prefix: str, kind: str) -> gossip.Record:
    return gossip.Record(
        key=f"{kind}{value.key.removeprefix(prefix)}",
        version=value.revision,
        payload=value.value or b"",
    )


def _blocking_problems(
    problems: list[document_errors.Problem],
    parsed: collections.abc.Mapping[ids.SectionName, models.Section],
) -> list[document_errors.Problem]:
    """Return the problems that keep sections from being applied.

    Problems with availability zones do not, while there is no fleet section: it may arrive later.
    """
    if models.FLEET_SECTION in parsed:
        return problems
    return [problem for problem in problems if not problem.field.endswith("zone")]
