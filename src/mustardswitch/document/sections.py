"""Parses sections, checks them together and looks up databases, zones and logins."""

import collections.abc
import dataclasses
import functools
import io

import pydantic
import ruamel.yaml
import ruamel.yaml.comments
import ruamel.yaml.error
import yaml

from mustardswitch.document import errors, models
from mustardswitch.internal import ids

SECTION_PREFIX = "mustardswitch/sections/"
RECENT_CHANGES = 20
"""Changes that the history of a section keeps."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredSection:
    """A section as the store keeps it; ``revision`` is the store's revision of its key."""

    name: ids.SectionName
    revision: int
    text: str
    change_id: str
    editor: str
    recent: tuple["Change", ...] = ()


class Change(pydantic.BaseModel):
    """Who changed a section, and when (seconds of wall-clock time)."""

    model_config = pydantic.ConfigDict(frozen=True)

    change_id: str
    editor: str
    at_s: int = 0
    summary: str = ""


class SectionEnvelope(pydantic.BaseModel):
    """The stored form of a section: its text and its recent changes, latest last."""

    change_id: str
    editor: str
    text: str
    recent: list[Change] = []


def decode_section(name: ids.SectionName, revision: int, value: bytes) -> StoredSection:
    """Decode the stored form of a section; raises InvalidDocumentError when it is malformed."""
    try:
        envelope = SectionEnvelope.model_validate_json(value)
    except pydantic.ValidationError as error:
        problem = errors.Problem(
            section=name,
            line=0,
            field="(whole section)",
            message="the stored value is not a section",
            remedy="apply the section again with mustardctl document apply",
        )
        raise errors.InvalidDocumentError([problem]) from error
    return StoredSection(
        name=name,
        revision=revision,
        text=envelope.text,
        change_id=envelope.change_id,
        editor=envelope.editor,
        recent=tuple(envelope.recent),
    )


def encode_section(
    *, text: str, change_id: str, editor: str, recent: collections.abc.Sequence[Change] = ()
) -> bytes:
    """Encode a section in its stored form, with the latest ``RECENT_CHANGES`` of ``recent``."""
    envelope = SectionEnvelope(
        change_id=change_id, editor=editor, text=text, recent=list(recent)[-RECENT_CHANGES:]
    )
    return envelope.model_dump_json().encode()


def load_yaml(name: ids.SectionName, text: str) -> ruamel.yaml.comments.CommentedMap:
    """Parse a section's YAML with its comments and line numbers.

    Raises InvalidDocumentError when the text is not valid YAML or not a mapping.
    """
    try:
        loaded = ruamel.yaml.YAML(typ="rt").load(io.StringIO(text))
    except ruamel.yaml.error.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        raise errors.InvalidDocumentError(
            [
                errors.Problem(
                    section=name,
                    line=line,
                    field="(syntax)",
                    message=f"not valid YAML: {error.problem}",
                    remedy="correct the indentation or quoting on this line",
                )
            ]
        ) from error
    if not isinstance(loaded, ruamel.yaml.comments.CommentedMap):
        raise errors.InvalidDocumentError(
            [
                errors.Problem(
                    section=name,
                    line=1,
                    field="(whole section)",
                    message="a section is a mapping of fields",
                    remedy="write it as 'field: value' lines",
                )
            ]
        )
    return loaded


def dump_yaml(loaded: ruamel.yaml.comments.CommentedMap) -> str:
    """Return a section's YAML with the comments that it was parsed with."""
    stream = io.StringIO()
    ruamel.yaml.YAML(typ="rt").dump(loaded, stream)
    return stream.getvalue()


def parse_section(name: ids.SectionName, text: str) -> models.Section:
    """Parse and check one section alone; raises InvalidDocumentError with every problem found."""
    model = models.section_model(name)
    if model is None:
        raise errors.InvalidDocumentError(
            [
                errors.Problem(
                    section=name,
                    line=0,
                    field="(section name)",
                    message="unknown section",
                    remedy="name it 'fleet' or 'service-' and the service's name",
                )
            ]
        )
    try:
        return model.model_validate(yaml.load(text, Loader=yaml.CSafeLoader))
    except (yaml.YAMLError, pydantic.ValidationError):
        return _parse_with_lines(name, text, model)


def _parse_with_lines(
    name: ids.SectionName, text: str, model: type[models.Section]
) -> models.Section:
    """Parse again to find the line of each problem, which takes about twenty times as long."""
    loaded = load_yaml(name, text)
    try:
        return model.model_validate(loaded)
    except pydantic.ValidationError as error:
        problems = [_problem(name, loaded, detail) for detail in error.errors()]
        raise errors.InvalidDocumentError(problems) from error


def _problem(
    name: ids.SectionName, loaded: ruamel.yaml.comments.CommentedMap, detail: dict
) -> errors.Problem:
    path = detail["loc"]
    remedies = {
        "missing": "add the field",
        "extra_forbidden": "remove it or correct its spelling",
        "string_pattern_mismatch": "use lower-case letters, digits and hyphens",
    }
    value = "" if detail["type"] == "missing" else f" (value {detail['input']!r:.60})"
    return errors.Problem(
        section=name,
        line=_line_of(loaded, path),
        field=".".join(str(part) for part in path) or "(whole section)",
        message=f"{detail['msg']}{value}",
        remedy=remedies.get(detail["type"], "see docs/DOCUMENT.md for the values it takes"),
    )


def _line_of(
    loaded: ruamel.yaml.comments.CommentedMap, path: collections.abc.Sequence[str | int]
) -> int:
    line = 1
    node: object = loaded
    for part in path:
        if isinstance(node, ruamel.yaml.comments.CommentedMap) and part in node:
            line = node.lc.key(part)[0] + 1
        elif isinstance(node, ruamel.yaml.comments.CommentedSeq) and isinstance(part, int):
            line = node.lc.item(part)[0] + 1
        else:
            return line
        node = node[part]
    return line


@dataclasses.dataclass(frozen=True, kw_only=True)
class DatabaseEntry:
    """One database and the service section that it belongs to."""

    service: ids.SectionName
    policy: models.ServiceSection
    database: models.Database

    @functools.cached_property
    def slots_by_id(self) -> dict[ids.SlotId, models.Slot]:
        """The slots of the group by their ids."""
        return {ids.SlotId(slot.id): slot for slot in self.database.slots}


class Document:
    """All sections of the document, with an index of the databases."""

    def __init__(
        self, *, sections: collections.abc.Mapping[ids.SectionName, models.Section]
    ) -> None:
        self.sections = dict(sections)
        self.databases: dict[ids.DatabaseName, DatabaseEntry] = {}
        for name, section in self.sections.items():
            if isinstance(section, models.ServiceSection):
                self._add_databases(name, section)

    def __repr__(self) -> str:
        return f"Document(sections={self.sections!r})"

    def _add_databases(self, name: ids.SectionName, section: models.ServiceSection) -> None:
        for database in section.databases:
            entry = DatabaseEntry(service=name, policy=section, database=database)
            self.databases.setdefault(ids.DatabaseName(database.name), entry)

    @functools.cached_property
    def region_by_zone(self) -> dict[ids.ZoneName, ids.RegionName]:
        """The region of each availability zone."""
        fleet = self.sections.get(models.FLEET_SECTION)
        if not isinstance(fleet, models.FleetSection):
            return {}
        return {
            ids.ZoneName(zone): ids.RegionName(region.name)
            for region in fleet.regions
            for zone in region.zones
        }

    def find_caller(self, name: str) -> models.Caller | None:
        """Return the login ``name``, or None when no section has it."""
        return self.callers_by_name.get(name)

    @functools.cached_property
    def callers_by_name(self) -> dict[str, models.Caller]:
        """The logins of all sections; the first section counts where two have one name."""
        found: dict[str, models.Caller] = {}
        for section in self.sections.values():
            if isinstance(section, models.ServiceSection):
                for caller in section.callers:
                    found.setdefault(caller.name, caller)
        return found

    @functools.cached_property
    def has_callers(self) -> bool:
        """Whether any section lists logins."""
        return bool(self.callers_by_name)


def check_across_sections(
    sections: collections.abc.Mapping[ids.SectionName, models.Section],
    texts: collections.abc.Mapping[ids.SectionName, str],
) -> list[errors.Problem]:
    """Check that zones, databases, slots, addresses and logins are unique, and zones known.

    ``texts`` are the texts of the sections, in which the line of a problem is looked up.
    """
    checker = _CrossChecker(texts=texts)
    document = Document(sections=sections)
    for name, section in sorted(sections.items()):
        if isinstance(section, models.ServiceSection):
            checker.check_service(name, section, set(document.region_by_zone))
        else:
            checker.check_fleet(name, section)
    return checker.problems


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UniqueValue:
    """A value that may occur only once in the document, such as the name of a database."""

    kind: str
    value: str


class _CrossChecker:
    """Collects the problems that only a check across sections can find."""

    def __init__(self, *, texts: collections.abc.Mapping[ids.SectionName, str]) -> None:
        self.texts = texts
        self.problems: list[errors.Problem] = []
        self.section_by_value: dict[_UniqueValue, ids.SectionName] = {}

    def check_fleet(self, name: ids.SectionName, section: models.FleetSection) -> None:
        """Check that no availability zone is listed twice."""
        for index, region in enumerate(section.regions):
            for position, zone in enumerate(region.zones):
                self._require_unique(name, ("regions", index, "zones", position), "zone", zone)

    def check_service(
        self, name: ids.SectionName, section: models.ServiceSection, zones: set[ids.ZoneName]
    ) -> None:
        """Check one service against the services before it and against the zones of the fleet."""
        for index, caller in enumerate(section.callers):
            self._require_unique(name, ("callers", index, "name"), "login", caller.name)
        for index, database in enumerate(section.databases):
            path = ("databases", index)
            self._require_unique(name, (*path, "name"), "database", database.name)
            for number, slot in enumerate(database.slots):
                slot_path = (*path, "slots", number)
                self._require_unique(name, (*slot_path, "id"), "slot", slot.id)
                self._require_unique(
                    name, (*slot_path, "port"), "address", f"{slot.host}:{slot.port}"
                )
                if slot.zone not in zones:
                    self._add(
                        name,
                        (*slot_path, "zone"),
                        f"availability zone {slot.zone!r} is not in the section fleet",
                        "add it there or name a listed one",
                    )

    def _require_unique(self, name: ids.SectionName, path: tuple, kind: str, value: str) -> None:
        unique = _UniqueValue(kind=kind, value=value)
        first_section = self.section_by_value.get(unique)
        if first_section is None:
            self.section_by_value[unique] = name
            return
        self._add(
            name,
            path,
            f"{kind} {value!r} is already in section {first_section}",
            "give each one a name of its own",
        )

    def _add(self, name: ids.SectionName, path: tuple, message: str, remedy: str) -> None:
        loaded = load_yaml(name, self.texts[name])
        self.problems.append(
            errors.Problem(
                section=name,
                line=_line_of(loaded, path),
                field=".".join(str(part) for part in path),
                message=message,
                remedy=remedy,
            )
        )


def parse_document(texts: collections.abc.Mapping[ids.SectionName, str]) -> Document:
    """Parse and check all sections; raises InvalidDocumentError with every problem found."""
    problems: list[errors.Problem] = []
    sections: dict[ids.SectionName, models.Section] = {}
    for name, text in texts.items():
        try:
            sections[name] = parse_section(name, text)
        except errors.InvalidDocumentError as error:
            problems.extend(error.problems)
    problems.extend(check_across_sections(sections, texts))
    if problems:
        raise errors.InvalidDocumentError(problems)
    return Document(sections=sections)
