"""Merges two edits of one section field by field, keeping the comments of the later text.

Items of a list that carry a ``name`` or ``id`` are matched by it, so that two teams may add or
change different databases of one section at the same time. A merge of text lines would report
conflicts between neighbouring fields and could produce an invalid document.
"""

import collections.abc
import copy
import dataclasses
import typing

import ruamel.yaml.comments

from mustardswitch.document import errors, sections
from mustardswitch.internal import ids

ITEM_KEYS = ("name", "id")


@dataclasses.dataclass(frozen=True, kw_only=True)
class FieldConflict:
    """A field that both edits changed, each to a different value."""

    field: str
    base: object
    ours: object
    theirs: object

    def __str__(self) -> str:
        return f"field {self.field}: was {self.base!r}, yours {self.ours!r}, theirs {self.theirs!r}"


class _Missing:
    """Placeholder for a field that a version of the section does not have."""

    def __repr__(self) -> str:
        return "(absent)"


MISSING = _Missing()
Node = typing.Any
"""A YAML value with its comments: a mapping, a list or a scalar."""


def merge_texts(name: ids.SectionName, *, base: str, ours: str, theirs: str) -> str:
    """Apply the changes between ``base`` and ``ours`` to ``theirs``, and return the merged text.

    Raises EditConflictError with both values of each field that both edits changed, and
    InvalidDocumentError for a text that is not valid YAML.
    """
    merger = _Merger()
    merged = merger.merge(
        "",
        sections.load_yaml(name, base),
        sections.load_yaml(name, ours),
        sections.load_yaml(name, theirs),
    )
    if merger.conflicts:
        shown = "; ".join(str(conflict) for conflict in merger.conflicts)
        raise errors.EditConflictError(
            f"section {name} was changed by another edit: {shown}; "
            "read it again and choose one of the values"
        )
    return sections.dump_yaml(merged)


class _Merger:
    """Merges three versions of a section recursively and collects the conflicts."""

    def __init__(self) -> None:
        self.conflicts: list[FieldConflict] = []

    def merge(self, path: str, base: Node, ours: Node, theirs: Node) -> Node:
        """Return ``theirs`` with the changes from ``base`` to ``ours``.

        A conflict is recorded and keeps the value of ``theirs``.
        """
        if _same(ours, base) or _same(ours, theirs):
            return theirs
        if _same(theirs, base):
            return ours
        if all(isinstance(node, collections.abc.Mapping) for node in (base, ours, theirs)):
            return self._merge_maps(path, base, ours, theirs)
        if all(_is_keyed(node) for node in (base, ours, theirs)):
            return self._merge_lists(path, base, ours, theirs)
        self.conflicts.append(
            FieldConflict(field=path or "(whole section)", base=base, ours=ours, theirs=theirs)
        )
        return theirs

    def _merge_maps(self, path: str, base: Node, ours: Node, theirs: Node) -> Node:
        merged = copy.deepcopy(theirs)
        for key in [*theirs, *(key for key in ours if key not in theirs)]:
            value = self.merge(
                f"{path}.{key}".lstrip("."),
                base.get(key, MISSING),
                ours.get(key, MISSING),
                theirs.get(key, MISSING),
            )
            if value is MISSING:
                merged.pop(key, None)
            else:
                merged[key] = value
        return merged

    def _merge_lists(self, path: str, base: Node, ours: Node, theirs: Node) -> Node:
        maps = [_by_key(node) for node in (base, ours, theirs)]
        merged = self._merge_maps(path, *maps)
        kept = ruamel.yaml.comments.CommentedSeq()
        kept.extend(merged.values())
        return kept


def _same(first: Node, second: Node) -> bool:
    if first is MISSING or second is MISSING:
        return first is second
    return first == second


def _key_of(item: Node) -> object:
    if isinstance(item, collections.abc.Mapping):
        for key in ITEM_KEYS:
            if key in item:
                return item[key]
        return None
    return item


def _is_keyed(node: Node) -> bool:
    if not isinstance(node, list):
        return False
    keys = [_key_of(item) for item in node]
    return None not in keys and len(set(map(str, keys))) == len(keys)


def _by_key(node: Node) -> dict[object, Node]:
    return {_key_of(item): item for item in node}
