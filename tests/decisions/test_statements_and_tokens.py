"""Tests for the classification of statements, hints and session tokens."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import errors, ids, outcomes, positions, statements, tokens
from tests.common import builders

KINDS = outcomes.StatementKind


@pytest.mark.parametrize(
    "sql, kind",
    [
        ("SELECT 1", KINDS.READ),
        ("select a from b where c = 'x;y'", KINDS.READ),
        ("WITH x AS (SELECT 1) SELECT * FROM x", KINDS.READ),
        ("SELECT a FROM b UNION SELECT c FROM d", KINDS.READ),
        ("/* note */ SELECT 1", KINDS.READ),
        ("SELECT * FROM t FOR UPDATE", KINDS.WRITE),
        ("SELECT SLEEP(2)", KINDS.WRITE),
        ("SELECT GET_LOCK('a', 1)", KINDS.WRITE),
        ("SELECT LAST_INSERT_ID()", KINDS.WRITE),
        ("SELECT @a := 1", KINDS.WRITE),
        ("INSERT INTO t VALUES (1)", KINDS.WRITE),
        ("not sql at all", KINDS.WRITE),
        ("", KINDS.WRITE),
        ("BEGIN", KINDS.BEGIN),
        ("start transaction", KINDS.BEGIN),
        ("COMMIT", KINDS.COMMIT),
        ("ROLLBACK", KINDS.ROLLBACK),
        ("SET NAMES utf8mb4", KINDS.SESSION),
    ],
)
def test_classifies(sql, kind):
    assert statements.StatementClassifier().classify(sql) is kind


@pytest.mark.parametrize(
    "sql, message",
    [
        ("LOCK TABLES t WRITE", "LOCK"),
        ("SAVEPOINT a", "SAVEPOINT"),
        ("ROLLBACK TO a", "ROLLBACK TO"),
        ("CALL f()", "CALL"),
        ("SELECT 1; DELETE FROM t", "several statements"),
    ],
)
def test_rejects_statements_that_would_break_the_guarantees(sql, message):
    with pytest.raises(errors.UnsupportedStatementError, match=message):
        statements.StatementClassifier().classify(sql)


def test_pays_a_parse_once_per_statement_text():
    classifier = statements.StatementClassifier()
    for number in range(1000):
        classifier.classify(f"SELECT a FROM b WHERE c = {number} AND d = 'v{number}'")
    assert classifier.parses == 1


def test_forgets_the_least_recently_used_text():
    classifier = statements.StatementClassifier(entries=2)
    for sql in ("SELECT a", "SELECT b", "SELECT a", "SELECT c", "SELECT a"):
        classifier.classify(sql)
    assert classifier.parses == 3


def test_reads_hints():
    hints = statements.parse_hints(
        "SELECT /*+ MAX_AGE(2.5) DEADLINE(1) */ a FROM b /*+ REQUEST_ID('o-1') */"
    )
    assert hints.max_age_s == 2.5
    assert hints.deadline_s == 1.0
    assert hints.request_id == "o-1"


@pytest.mark.parametrize("hint", ["MAX_AGE(soon)", "DEADLINE(-1)", "REQUEST_ID('a b')"])
def test_rejects_unusable_hints_with_value_and_remedy(hint):
    with pytest.raises(errors.InvalidHintError, match=r"write for example|use 1 to 64"):
        statements.parse_hints(f"SELECT /*+ {hint} */ 1")


def _min_positions():
    return positions.MinPositions().raised_to(ids.DatabaseName("orders"), builders.position(3, 17))


def test_decoding_a_token_returns_its_minimum_positions():
    codec = tokens.TokenCodec(keys=["0123456789abcdef"])
    assert codec.decode(codec.encode(_min_positions())) == _min_positions()


def test_takes_tokens_of_a_key_that_is_being_replaced():
    old = tokens.TokenCodec(keys=["old-key-old-key-"])
    new = tokens.TokenCodec(keys=["old-key-old-key-", "new-key-new-key-"])
    assert new.decode(old.encode(_min_positions())) == _min_positions()
    with pytest.raises(errors.InvalidTokenError):
        old.decode(new.encode(_min_positions()))


@given(st.data())
def test_rejects_every_altered_token(data):
    codec = tokens.TokenCodec(keys=["0123456789abcdef"])
    token = codec.encode(_min_positions())
    index = data.draw(st.integers(0, len(token) - 1))
    letter = data.draw(st.sampled_from("ABCabc019-_.").filter(lambda drawn: drawn != token[index]))
    altered = token[:index] + letter + token[index + 1 :]
    try:
        min_positions = codec.decode(altered)
    except errors.InvalidTokenError:
        return
    assert min_positions == _min_positions()


@given(st.text(max_size=200))
def test_rejects_what_is_no_token(text):
    with pytest.raises(errors.InvalidTokenError, match="send the token as the proxy gave it"):
        tokens.TokenCodec(keys=["0123456789abcdef"]).decode(text)
