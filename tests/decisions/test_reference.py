"""The pages that follow from the code, the examples and the settings."""

import importlib.util
import pathlib
import re

import pytest

from mustardswitch import settings
from mustardswitch.document import sections
from mustardswitch.internal import ids

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize("customer, databases", [("cascade", 9), ("qafaz", 9)])
def test_examples_are_valid_documents(customer, databases):
    texts = {
        ids.SectionName(path.stem): path.read_text()
        for path in (DOCS / "examples" / customer).glob("*.yaml")
    }
    assert len(sections.parse_document(texts).databases) == databases


def test_example_settings_are_usable():
    path = DOCS / "examples" / "entry-instance.yaml"
    assert settings.load_settings(path).zone == "puget-a"


@pytest.mark.parametrize(
    "before, after, words",
    [
        ("zone: puget-a", "zones: puget-a", "field zone"),
        ("port: 3306", "port: 99999", "field callers.port"),
        ("replace-me-with-a-long-random-key", "short", "at least 16 characters"),
        ("instance: puget-a-1", "instance: [", "not valid YAML"),
    ],
)
def test_rejects_bad_settings_naming_place_and_remedy(before, after, words):
    text = (DOCS / "examples" / "entry-instance.yaml").read_text().replace(before, after)
    with pytest.raises(settings.SettingsError) as raised_to:
        settings.parse_settings(text, source="entry.yaml")
    assert words in str(raised_to.value)
    assert "entry.yaml" in str(raised_to.value)


def test_generated_pages_are_up_to_date():
    spec = importlib.util.spec_from_file_location("reference", DOCS / "generate_reference.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    for name, text in module.pages().items():
        assert (DOCS / name).read_text() == text, f"run docs/generate_reference.py for {name}"


ROOT = DOCS.parent
PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted(DOCS.glob("*.md"))]


def _sources():
    return "\n".join(path.read_text() for path in (ROOT / "tests").rglob("*.py"))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_names_in_the_pages_exist(page):
    text = page.read_text()
    tests = _sources()
    for name in re.findall(r"`(test_\w+)`", text):
        assert f"def {name}" in tests or f"{name} =" in tests or f"/{name}" in text, name
    for trace in re.findall(r"`(group_\w+)`", text):
        assert (ROOT / "tests" / "traces" / f"{trace}.yaml").exists(), trace
    for path in re.findall(r"`([\w/]+/\w+\.py)`", text):
        found = [ROOT / path, ROOT / "src" / path, ROOT / "src" / "mustardswitch" / path]
        assert any(candidate.exists() for candidate in found), path
    for link in re.findall(r"\]\(([\w/.]+\.md)\)", text):
        assert (page.parent / link).exists(), link
