"""Writes the reference pages that follow from the code: document, settings and events."""

import enum
import inspect
import pathlib
import re
import types
import typing

import logbook
import pydantic

from mustardswitch import events, settings
from mustardswitch.document import models

DOCS = pathlib.Path(__file__).parent


def _members(kind: type[enum.Enum]) -> str:
    return ", ".join(f"`{member.value}`" for member in kind)


def _type_name(annotation: object) -> str:
    """Name a field's type in plain words."""
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is list:
        return f"list of {_type_name(arguments[0])}"
    if origin in (typing.Union, types.UnionType):
        return " or ".join(_type_name(argument) for argument in arguments)
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return _members(annotation)
    if annotation is type(None):
        return "none"
    if annotation == models.Name:
        return "name"
    return f"`{getattr(annotation, '__name__', annotation)}`"


def _default(field: pydantic.fields.FieldInfo) -> str:
    if field.is_required():
        return "required"
    value = field.default
    return f"`{value.value if isinstance(value, enum.Enum) else value!r}`"


def _fields(model: type[pydantic.BaseModel]) -> list[str]:
    lines = ["| field | value | default | meaning |", "|---|---|---|---|"]
    for name, field in model.model_fields.items():
        meaning = field.description or ""
        lines.append(f"| {name} | {_type_name(field.annotation)} | {_default(field)} | {meaning} |")
    return lines


def _page(title: str, intro: str, parts: list[type[pydantic.BaseModel]]) -> str:
    lines = [f"# {title}", "", intro, ""]
    for model in parts:
        lines += [f"## {model.__name__}", "", inspect.getdoc(model) or "", "", *_fields(model), ""]
    return "\n".join(lines)


def _event_docs() -> dict[str, str]:
    source = inspect.getsource(events.Event)
    return dict(
        re.findall(r'^    ([A-Z_]+) = EventKind\(.*?\)\n    """(.*?)"""', source, re.M | re.S)
    )


def events_page() -> str:
    """Return docs/EVENTS.md."""
    meanings = _event_docs()
    lines = [
        "# Events",
        "",
        "Each line of the log is one JSON object; `event` is the number below. Written by",
        "`docs/generate_reference.py`; a test compares the table with the code.",
        "",
        "| number | level | message | meaning |",
        "|---|---|---|---|",
    ]
    for event in events.Event:
        kind = event.value
        level = logbook.get_level_name(kind.level).lower()
        meaning = " ".join(meanings[event.name].split())
        lines.append(f"| {kind.number} | {level} | {kind.message} | {meaning} |")
    return "\n".join(lines) + "\n"


def pages() -> dict[str, str]:
    """Return every page by its file name."""
    return {
        "EVENTS.md": events_page(),
        "DOCUMENT.md": _page(
            "The document",
            "Sections are named `fleet` or `service-` and the service's name. Written from the "
            "checked models by\n`docs/generate_reference.py`. Examples: `docs/examples/`.",
            [
                models.FleetSection,
                models.Region,
                models.ServiceSection,
                models.Database,
                models.Slot,
                models.Caller,
            ],
        ),
        "SETTINGS.md": _page(
            "Settings of an entry instance",
            "A YAML file; `mustardswitchd check --settings FILE` checks it. Written from the "
            "checked models by\n`docs/generate_reference.py`.",
            [
                settings.Settings,
                settings.Endpoint,
                settings.Seed,
                settings.Translation,
                settings.Tls,
                settings.TlsFiles,
            ],
        ),
    }


def main() -> None:
    """Write the pages."""
    for name, text in pages().items():
        (DOCS / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
