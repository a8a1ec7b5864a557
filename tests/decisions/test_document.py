"""Sections: their checks, their errors and the merge of two edits."""

import pytest

from mustardswitch.document import errors, merging, sections
from mustardswitch.internal import ids
from tests.common import documents

BAKERY = ids.SectionName("service-bakery")


def _problems(texts):
    with pytest.raises(errors.InvalidDocumentError) as raised_to:
        sections.parse_document(texts)
    return raised_to.value.problems


def test_accepts_the_example():
    document = sections.parse_document(documents.texts())
    assert list(document.databases) == ["orders", "batches"]
    assert document.region_by_zone["willamette-a"] == "willamette"


@pytest.mark.parametrize(
    "before, after, field, line, words",
    [
        ("owner: bakers", "owner: ''", "owner", 1, "at least 1 character"),
        ("connections: 25", "connections: 3", "databases.0.connections", 4, "greater than"),
        ("connections: 25", "conections: 25", "databases.0.connections", 3, "add the field"),
        ("zone: puget-b", "zone: nowhere", "databases.0.slots.1.zone", 7, "section fleet"),
        ("name: batches", "name: orders", "databases.1.name", 9, "name of its own"),
        ("port: 2", "port: 70000", "databases.0.slots.1.port", 7, "65535"),
        ("host: 10.0.0.2", "host: example", "databases.0.slots.1.host", 7, "IPv4 or IPv6"),
        ("id: batches-a", "id: orders-a", "databases.1.slots.0.id", 12, "already in section"),
    ],
)
def test_names_section_line_field_and_remedy(before, after, field, line, words):
    texts = documents.texts()
    assert before in texts[BAKERY]
    texts[BAKERY] = texts[BAKERY].replace(before, after, 1)
    matching = [problem for problem in _problems(texts) if problem.field == field]
    assert matching, field
    shown = str(matching[0])
    assert matching[0].section == BAKERY
    assert matching[0].line == line
    assert words in shown


def test_rejects_text_that_is_no_yaml_with_its_line():
    (problem,) = _problems({BAKERY: "owner: a\ndatabases: [\n"})
    assert problem.field == "(syntax)"
    assert problem.line > 1


def test_rejects_a_section_of_unknown_name():
    (problem,) = _problems({ids.SectionName("other"): "owner: a\n"})
    assert "name it 'fleet'" in problem.remedy


def test_merges_edits_of_different_fields_and_keeps_comments():
    base = documents.texts()[BAKERY]
    ours = base.replace("connections: 25", "connections: 30")
    theirs = "# agreed on Monday\n" + base.replace("owner: bakers", "owner: bakers and millers")
    merged = merging.merge_texts(BAKERY, base=base, ours=ours, theirs=theirs)
    assert "connections: 30" in merged
    assert "owner: bakers and millers" in merged
    assert "# agreed on Monday" in merged


def test_merges_databases_added_by_two_teams():
    base = documents.texts()[BAKERY]
    ours = base + documents.database("wholesale", 31)
    theirs = base + documents.database("markets", 41)
    merged = merging.merge_texts(BAKERY, base=base, ours=ours, theirs=theirs)
    parsed = sections.parse_section(BAKERY, merged)
    names = {database.name for database in parsed.databases}
    assert names == {"orders", "batches", "wholesale", "markets"}


def test_shows_both_values_of_a_field_that_both_changed():
    base = documents.texts()[BAKERY]
    ours = base.replace("connections: 25", "connections: 30", 1)
    theirs = base.replace("connections: 25", "connections: 20", 1)
    with pytest.raises(errors.EditConflictError) as raised_to:
        merging.merge_texts(BAKERY, base=base, ours=ours, theirs=theirs)
    assert "was 25, yours 30, theirs 20" in str(raised_to.value)
    assert "databases.orders.connections" in str(raised_to.value)


def test_keeps_the_removal_of_a_database():
    base = documents.texts()[BAKERY]
    ours = base[: base.index("  - name: batches")]
    theirs = base.replace("owner: bakers", "owner: millers")
    merged = merging.merge_texts(BAKERY, base=base, ours=ours, theirs=theirs)
    assert "batches" not in merged
    assert "owner: millers" in merged
