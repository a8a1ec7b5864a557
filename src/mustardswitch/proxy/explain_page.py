"""The page on which an instance explains where a statement would go now, as JSON."""

import dataclasses
import json
import typing
import urllib.parse

from mustardswitch import pages
from mustardswitch.internal import ids
from mustardswitch.proxy import directory, explanation

PATH = "/explain"
MAX_TEXT = 200
"""Characters of each text in an answer; names come from the store and may be long."""
MAX_FIELDS = 8
"""Fields of a query; three are known."""


def _clip(value: typing.Any) -> typing.Any:
    if isinstance(value, dict):
        return {name: _clip(each) for name, each in value.items()}
    if isinstance(value, list):
        return [_clip(each) for each in value]
    if isinstance(value, str) and len(value) > MAX_TEXT:
        return value[:MAX_TEXT] + "..."
    return round(value, 6) if isinstance(value, float) else value


def _fail(status: int, why: str) -> pages.Page:
    return status, json.dumps({"error": why})


def answer(found: directory.Directory, query: str) -> pages.Page:
    """Answer a request for ``PATH`` with its query; an error does not repeat the query's values."""
    try:
        fields = dict(urllib.parse.parse_qsl(query, max_num_fields=MAX_FIELDS))
        kind = explanation.Kind(fields.get("kind", ""))
    except ValueError:
        kinds = ", ".join(each.value for each in explanation.Kind)
        return _fail(400, f"the query is invalid; give database, tenant and kind ({kinds})")
    database = ids.DatabaseName(fields.get("database", ""))
    tenant = ids.TenantName(fields.get("tenant", ""))
    try:
        explained = explanation.explain(found, database, tenant, kind)
    except explanation.UnknownTargetError as error:
        return _fail(404, str(error))
    return 200, json.dumps(_clip(dataclasses.asdict(explained)))
