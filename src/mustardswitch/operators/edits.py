"""Applies edits of sections: reads, merges, checks, compares and swaps, and retries."""

import asyncio
import collections.abc
import dataclasses
import time

from mustardswitch.document import errors as document_errors
from mustardswitch.document import merging, sections
from mustardswitch.etcd import errors as store_errors
from mustardswitch.etcd import store
from mustardswitch.internal import ids

MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.25

Sections = collections.abc.Mapping[ids.SectionName, sections.StoredSection]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Edit:
    """A requested change of one section.

    ``base`` is the text that was edited, at the store revision ``base_revision``; an empty base
    means that the section is new.
    """

    name: ids.SectionName
    base: str
    base_revision: int
    text: str
    change_id: str
    editor: str
    summary: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppliedEdit:
    """An edit that took effect in the store."""

    revision: int
    text: str
    merged: bool
    """Whether the stored text also contains an edit other than the requested one."""


class DocumentStore:
    """Reads and edits the document in the platform's store."""

    def __init__(self, *, client: store.Store) -> None:
        self.client = client

    async def read_all(self) -> Sections:
        """Read every section.

        Raises StoreUnavailableError, or InvalidDocumentError for a malformed stored value.
        """
        snapshot = await self.client.read_prefix(sections.SECTION_PREFIX)
        found = {}
        for value in snapshot.values:
            name = ids.SectionName(value.key.removeprefix(sections.SECTION_PREFIX))
            found[name] = sections.decode_section(name, value.revision, value.value or b"")
        return found

    async def apply(self, edit: Edit) -> AppliedEdit:
        """Apply an edit exactly once.

        The change id identifies the edit, so that a retry after a lost answer recognises an attempt
        that took effect. Raises InvalidDocumentError or EditConflictError with nothing changed, and
        EditUnresolvedError when all ``MAX_ATTEMPTS`` attempts failed at the store.
        """
        failure: store_errors.PlatformError | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_DELAY_S)
            try:
                current = await self.read_all()
                done = _already_applied(edit, current)
                if done is not None:
                    return done
                return await self._swap(edit, current)
            except store_errors.PlatformError as error:
                failure = error
        raise document_errors.EditUnresolvedError(
            f"section {edit.name}: the store gave no answer ({failure}); "
            f"run 'mustardctl document history {edit.name}' and look for change {edit.change_id}"
        )

    async def _swap(self, edit: Edit, current: Sections) -> AppliedEdit:
        stored = current.get(edit.name)
        text = edit.text
        merged = stored is not None and stored.revision != edit.base_revision
        if merged:
            text = merging.merge_texts(
                edit.name, base=edit.base or "{}", ours=edit.text, theirs=stored.text
            )
        check_section(current, edit.name, text)
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
                recent=[*(stored.recent if stored else ()), change],
            ),
            expected_revision=stored.revision if stored else 0,
        )
        return AppliedEdit(revision=revision, text=text, merged=merged)


def _already_applied(edit: Edit, current: Sections) -> AppliedEdit | None:
    stored = current.get(edit.name)
    if stored is None:
        return None
    if all(change.change_id != edit.change_id for change in stored.recent):
        return None
    return AppliedEdit(revision=stored.revision, text=stored.text, merged=stored.text != edit.text)


def check_section(current: Sections, name: ids.SectionName, text: str) -> sections.Document:
    """Check a new text of a section together with all other sections.

    Raises InvalidDocumentError with every problem found.
    """
    texts = {other: stored.text for other, stored in current.items()}
    return sections.parse_document({**texts, name: text})
