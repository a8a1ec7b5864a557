"""The line protocol: messages arrive as sent, and invalid input raises InvalidLineError only."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import ids, positions, promotion
from mustardswitch.platform import errors, lines
from mustardswitch.proxy import ports, requests

READ, WRITE = requests.Access
SHAPE = requests.Shape(access=WRITE, text="q2c")


@pytest.mark.parametrize(
    "line, statement",
    [
        ("BEGIN", requests.Begin(read_only=False)),
        ("BEGIN READ", requests.Begin(read_only=True)),
        ("COMMIT", requests.Commit()),
        ("ROLLBACK", requests.Rollback()),
        ("READ 1a4", requests.Plain(access=READ, arguments="1a4")),
        ("WRITE 1a4 x y", requests.Plain(access=WRITE, arguments="1a4 x y")),
        ("SET a b c", requests.SetValue(name="a", value="b c")),
        ("PREPARE s1 WRITE q2c", requests.Prepare(name=ids.StatementName("s1"), shape=SHAPE)),
        ("EXECUTE s1 1a4 x", requests.Execute(name=ids.StatementName("s1"), arguments="1a4 x")),
        ("DEALLOC s1", requests.Deallocate(name=ids.StatementName("s1"))),
    ],
)
def test_parses_every_statement(line, statement):
    message = lines.parse_caller_line(f"QUERY 5c0e {line}".encode())
    assert message == lines.RunStatement(request=ids.RequestId("5c0e"), statement=statement)


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"HELLO",
        b"QUERY",
        b"QUERY - READ a",
        b"QUERY 1 ",
        b"QUERY 1 AFTER 1.2 READ a",
        b"QUERY 1 STATUS",
        b"QUERY 1 READ",
        b"QUERY 1 WRITE a",
        b"QUERY 1 COMMIT now",
        b"QUERY 1 PREPARE s DELETE q",
        b"QUERY 1 READ a\rQUERY 2 WRITE a b",
        b"QUERY 1 READ a\nQUERY 2 WRITE a b",
        b"STARTUP db",
        b"\xff\xfe",
    ],
)
def test_rejects_invalid_lines_and_line_breaks_within_a_line(line):
    with pytest.raises(errors.InvalidLineError):
        lines.parse_caller_line(line)


@given(line=st.binary(max_size=200))
def test_no_line_of_a_caller_raises_another_error(line):
    with contextlib.suppress(errors.InvalidLineError):
        lines.parse_caller_line(line)


@given(
    parts=st.lists(
        st.sampled_from(
            ["QUERY", "READ", "WRITE", "-", "1", "a", "AFTER", "1.2", "READY", "I", "T", "ERROR"]
        )
    )
)
def test_no_line_of_a_server_raises_another_error(parts):
    with contextlib.suppress(errors.InvalidLineError):
        lines.AnswerDecoder().feed(" ".join(parts).encode())


def _position(term: int, offset: int) -> positions.Position:
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


def test_assembles_the_lines_of_an_answer():
    decoder = lines.AnswerDecoder()
    assert decoder.feed(b"DATAROW qhz") is None
    assert decoder.feed(b"COMPLETE 7.1f3") is None
    answer = decoder.feed(b"READY I 3.1209")
    assert answer == requests.Answer(rows=("qhz",), signature="7.1f3", position=_position(3, 1209))


def test_maps_error_codes_to_refusals():
    decoder = lines.AnswerDecoder()
    decoder.feed(b"ERROR READONLY i-7f")
    answer = decoder.feed(b"READY E 3.1")
    assert answer.refusal is requests.Refusal.READ_ONLY
    assert answer.state is requests.TransactionState.FAILED


def test_forwards_statements_unchanged_after_the_minimum_position():
    names = lines.ShapeNames()
    plain = requests.Plain(access=READ, arguments="1a4")
    command = ports.ReadAt(statement=plain, min_position=_position(3, 1207))
    assert lines.encode_command(command, ids.RequestId("5c"), names) == (
        b"QUERY 5c AFTER 3.1207 READ 1a4\r\n"
    )
    begin = ports.BeginAt(read_only=True, min_position=_position(3, 7))
    assert lines.encode_command(begin, None, names) == b"QUERY - AFTER 3.7 BEGIN READ\r\n"


def test_assigns_each_prepared_shape_a_name_that_is_never_reused():
    names = lines.ShapeNames()
    prepare = ports.PrepareShape(shape=SHAPE)
    assert lines.encode_command(prepare, None, names) == b"QUERY - PREPARE p1 WRITE q2c\r\n"
    run = ports.RunPrepared(shape=SHAPE, arguments="1a4 x")
    assert lines.encode_command(run, ids.RequestId("5c"), names) == (
        b"QUERY 5c EXECUTE p1 1a4 x\r\n"
    )
    assert lines.encode_command(ports.ResetSession(), None, names) == b"QUERY - RESET\r\n"
    assert lines.encode_command(prepare, None, names) == b"QUERY - PREPARE p2 WRITE q2c\r\n"


def test_parses_the_status_of_a_server():
    status = lines.parse_status("replica 3 3.1209 0 12 2 17")
    assert status == promotion.ServerStatus(
        role=promotion.Role.REPLICA, term=ids.Term(3), received=_position(3, 1209), running=1
    )
    assert lines.parse_status("replica 3 3.1209 5 12 2 17").term == 5
    assert lines.parse_status("replica 3 3.1209 5 12 1 17").running == 0


def test_an_answer_to_a_caller_replaces_line_breaks_in_its_detail():
    answer = requests.refuse(requests.Refusal.OVERLOADED, "a\r\nREADY I -")
    assert lines.encode_answer(answer) == b"ERROR BUSY a  READY I -\r\nREADY I -\r\n"
