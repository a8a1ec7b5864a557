"""Edits of sections: read, merge, check, compare and swap, and learn what became of it."""

import asyncio
import collections.abc
import dataclasses
import time

from mustardswitch.document import errors as document_errors
from mustardswitch.document import merging, sections
from mustardswitch.etcd import errors as platform_errors
from mustardswitch.etcd import store
from mustardswitch.internal import ids

ATTEMPTS = 8
RETRY_S = 0.25

Sections = collections.abc.Mapping[ids.SectionName, sections.StoredSection]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Edit:
    """A wish to change one section; an empty ``base`` means that the section is new."""

    name: ids.SectionName
    base: str
    base_revision: int
    text: str
    change_id: str
    editor: str
    summary: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """An edit that took effect in the store."""

    revision: int
    text: str
    merged: bool
    """Whether another edit came in between and both were kept."""


class DocumentStore:
    """The document as the store keeps it."""

    def __init__(self, *, client: store.Store) -> None:
        self.client = client

    async def read_all(self) -> Sections:
        """Read every section."""
        snapshot = await self.client.read_prefix(sections.SECTION_PREFIX)
        found = {}
        for value in snapshot.values:
            name = ids.SectionName(value.key.removeprefix(sections.SECTION_PREFIX))
            found[name] = sections.decode_section(name, value.revision, value.value or b"")
        return found

    async def apply(self, edit: Edit) -> Applied:
        """Make an edit take effect exactly once.

        The change id makes a repeated try after a lost answer recognise the first. Raises
        InvalidDocumentError or EditConflictError with nothing changed, and EditUnresolvedError
        when the store stayed out.
        """
        failure: platform_errors.PlatformError | None = None
        for attempt in range(ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_S)
            try:
                current = await self.read_all()
                done = _already_applied(edit, current)
                if done is not None:
                    return done
                return await self._swap(edit, current)
            except platform_errors.PlatformError as error:
                failure = error
        raise document_errors.EditUnresolvedError(
            f"section {edit.name}: the store gave no answer ({failure}); "
            f"run 'mustardctl document history {edit.name}' and look for change {edit.change_id}"
        )

    async def _swap(self, edit: Edit, current: Sections) -> Applied:
        known = current.get(edit.name)
        text = edit.text
        merged = known is not None and known.revision != edit.base_revision
        if merged:
            text = merging.merge_texts(
                edit.name, base=edit.base or "{}", ours=edit.text, theirs=known.text
            )
        check_with(current, edit.name, text)
        change = sections.Change(
            change_id=edit.change_id,
            editor=edit.editor,
            at_s=int(time.time()),
            summary=edit.summary,
        )
        revision = await self.client.compare_and_swap(
            f"{sections.SECTION_PREFIX}{edit.name}",
            sections.encode_section(
                text=text,
                change_id=edit.change_id,
                editor=edit.editor,
                recent=[*(known.recent if known else ()), change],
            ),
            expected_revision=known.revision if known else 0,
        )
        return Applied(revision=revision, text=text, merged=merged)


def _already_applied(edit: Edit, current: Sections) -> Applied | None:
    known = current.get(edit.name)
    if known is None:
        return None
    if all(change.change_id != edit.change_id for change in known.recent):
        return None
    return Applied(revision=known.revision, text=known.text, merged=known.text != edit.text)


def check_with(current: Sections, name: ids.SectionName, text: str) -> sections.Document:
    """Check a section together with all others; raises InvalidDocumentError."""
    texts = {known: stored.text for known, stored in current.items()}
    return sections.parse_document({**texts, name: text})
