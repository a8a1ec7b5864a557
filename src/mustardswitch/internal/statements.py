"""Classifies statements and reads the wishes that callers put into optimizer hints.

A statement is parsed once per text: literals are cut out first, so that statements which differ
only in their values share one entry of the cache. A statement that cannot be parsed counts as a
write. Regular expressions alone were rejected for classification: they misjudge common table
expressions, locking reads and functions with side effects.
"""

import collections
import dataclasses
import re

import sqlglot
from sqlglot import expressions

from mustardswitch.internal import errors, ids, outcomes

CACHE_ENTRIES = 4096
CACHED_TEXT_CHARACTERS = 4096
MAX_REQUEST_ID_CHARACTERS = 64

_LITERAL = re.compile(r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|\b\d+(?:\.\d+)?\b")
_HINT_BLOCK = re.compile(r"/\*\+(.*?)\*/", re.DOTALL)
_HINT = re.compile(r"(\w+)\s*\(\s*'?([^')]*)'?\s*\)")
_KEYWORD = re.compile(r"^\s*(?:/\*.*?\*/\s*)*([A-Za-z]+)", re.DOTALL)

_KINDS_BY_KEYWORD = {
    "BEGIN": outcomes.StatementKind.BEGIN,
    "START": outcomes.StatementKind.BEGIN,
    "COMMIT": outcomes.StatementKind.COMMIT,
    "ROLLBACK": outcomes.StatementKind.ROLLBACK,
    "SET": outcomes.StatementKind.SESSION,
    "SHOW": outcomes.StatementKind.SESSION,
    "USE": outcomes.StatementKind.SESSION,
}
_REFUSED_KEYWORDS = {
    "LOCK": "table locks outlive a statement; use a transaction",
    "UNLOCK": "table locks outlive a statement; use a transaction",
    "XA": "distributed transactions are not supported; use BEGIN and COMMIT",
    "HANDLER": "handlers outlive a statement; use SELECT",
    "CALL": "procedures hide what they change; send their statements",
    "SAVEPOINT": "savepoints are not supported; use separate transactions",
    "RELEASE": "savepoints are not supported; use separate transactions",
}
_UNSAFE_FUNCTIONS = {
    "SLEEP",
    "GET_LOCK",
    "RELEASE_LOCK",
    "RELEASE_ALL_LOCKS",
    "LAST_INSERT_ID",
    "LOAD_FILE",
    "MASTER_POS_WAIT",
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hints:
    """Wishes of a caller for one statement."""

    max_age_s: float | None = None
    request_id: ids.RequestId | None = None
    deadline_s: float | None = None


NO_HINTS = Hints()


def parse_hints(sql: str) -> Hints:
    """Read ``MAX_AGE(s)``, ``REQUEST_ID('id')`` and ``DEADLINE(s)`` from optimizer hints."""
    if "/*+" not in sql:
        return NO_HINTS
    values: dict[str, str] = {}
    for block in _HINT_BLOCK.findall(sql):
        for name, value in _HINT.findall(block):
            values[name.upper()] = value.strip()
    return Hints(
        max_age_s=_seconds(values, "MAX_AGE"),
        request_id=_request_id(values),
        deadline_s=_seconds(values, "DEADLINE"),
    )


def _seconds(values: dict[str, str], name: str) -> float | None:
    text = values.get(name)
    if text is None:
        return None
    if not re.fullmatch(r"\d{1,6}(\.\d{1,6})?", text):
        raise errors.InvalidHintError(
            f"hint {name}({text}) is not a number of seconds; write for example {name}(2.5)"
        )
    return float(text)


def _request_id(values: dict[str, str]) -> ids.RequestId | None:
    text = values.get("REQUEST_ID")
    if text is None:
        return None
    if not re.fullmatch(rf"[A-Za-z0-9_.:-]{{1,{MAX_REQUEST_ID_CHARACTERS}}}", text):
        raise errors.InvalidHintError(
            f"hint REQUEST_ID('{text[:80]}') is not an id; use 1 to "
            f"{MAX_REQUEST_ID_CHARACTERS} of the characters A-Z a-z 0-9 _ . : -"
        )
    return ids.RequestId(text)


class StatementClassifier:
    """Classifies statements and keeps the latest texts, least recently used out first."""

    def __init__(self, *, entries: int = CACHE_ENTRIES) -> None:
        self.entries = entries
        self.parses = 0
        self.kinds: collections.OrderedDict[str, outcomes.StatementKind] = collections.OrderedDict()

    def __repr__(self) -> str:
        return f"StatementClassifier(entries={self.entries!r})"

    def classify(self, sql: str) -> outcomes.StatementKind:
        """Return the kind of ``sql``; raises UnsupportedStatementError for a refused one."""
        match = _KEYWORD.match(sql)
        keyword = match.group(1).upper() if match else ""
        if keyword in _REFUSED_KEYWORDS:
            raise errors.UnsupportedStatementError(
                f"statement {keyword} is refused: {_REFUSED_KEYWORDS[keyword]}"
            )
        if keyword == "ROLLBACK" and " TO " in sql.upper():
            raise errors.UnsupportedStatementError(
                "statement ROLLBACK TO is refused: savepoints are not supported"
            )
        kind = _KINDS_BY_KEYWORD.get(keyword)
        if kind is not None:
            return kind
        return self._classify_cached(sql)

    def _classify_cached(self, sql: str) -> outcomes.StatementKind:
        shape = _LITERAL.sub("0", sql)
        known = self.kinds.get(shape)
        if known is not None:
            self.kinds.move_to_end(shape)
            return known
        kind = self._parse(shape)
        if len(shape) <= CACHED_TEXT_CHARACTERS:
            self.kinds[shape] = kind
            if len(self.kinds) > self.entries:
                self.kinds.popitem(last=False)
        return kind

    def _parse(self, shape: str) -> outcomes.StatementKind:
        self.parses += 1
        try:
            parsed = sqlglot.parse(shape, read="mysql")
        except (sqlglot.errors.SqlglotError, RecursionError):
            return outcomes.StatementKind.WRITE
        statements = [statement for statement in parsed if statement is not None]
        if len(statements) > 1:
            raise errors.UnsupportedStatementError(
                "several statements in one request are refused; send them one by one"
            )
        if statements and _only_reads(statements[0]):
            return outcomes.StatementKind.READ
        return outcomes.StatementKind.WRITE


def _only_reads(statement: expressions.Expression) -> bool:
    if not isinstance(statement, (expressions.Select, expressions.SetOperation)):
        return False
    forbidden = (
        expressions.Lock,
        expressions.Into,
        expressions.Insert,
        expressions.Update,
        expressions.Delete,
        expressions.Parameter,
        expressions.PropertyEQ,
    )
    if any(statement.find_all(*forbidden)):
        return False
    names = {function.name.upper() for function in statement.find_all(expressions.Anonymous)}
    return not names & _UNSAFE_FUNCTIONS and not any(
        function.sql_name().upper() in _UNSAFE_FUNCTIONS
        for function in statement.find_all(expressions.Func)
        if not isinstance(function, expressions.Anonymous)
    )
