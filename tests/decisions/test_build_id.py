"""The identifier of a build is the same on every machine with the same sources, and on no other."""

import os
import re
import shutil

import pytest

from mustardswitch import build


@pytest.fixture
def sources(tmp_path):
    (tmp_path / "proxy").mkdir()
    (tmp_path / "proxy" / "service.py").write_text("LIMIT = 1\n")
    (tmp_path / "build.py").write_text("")
    return tmp_path


def test_a_copy_with_other_times_and_compiled_files_is_the_same_build(sources, tmp_path_factory):
    copied = tmp_path_factory.mktemp("other") / "deeper" / "mustardswitch"
    shutil.copytree(sources, copied)
    for path in copied.rglob("*.py"):
        os.utime(path, (1, 1))
    (copied / "proxy" / "__pycache__").mkdir()
    (copied / "proxy" / "__pycache__" / "service.cpython-312.pyc").write_bytes(b"x")
    (copied / "proxy" / "__pycache__" / "service.py").write_text("not a source")
    assert build.identify(copied) == build.identify(sources)


@pytest.mark.parametrize(
    "change",
    [
        lambda root: (root / "proxy" / "service.py").write_text("LIMIT = 2\n"),
        lambda root: (root / "proxy" / "service.py").rename(root / "proxy" / "services.py"),
        lambda root: (root / "proxy" / "service.py").rename(root / "service.py"),
        lambda root: (root / "proxy" / "empty.py").write_text(""),
        lambda root: (root / "build.py").unlink(),
    ],
)
def test_any_change_of_a_source_is_another_build(sources, change):
    before = build.identify(sources)
    change(sources)
    assert build.identify(sources) != before


def test_a_process_knows_its_build():
    assert re.fullmatch("[0-9a-f]{8}", build.build_id())


def test_missing_sources_do_not_keep_a_process_from_starting(monkeypatch):
    def fail(root):
        raise PermissionError(root)

    monkeypatch.setattr(build, "identify", fail)
    build.build_id.cache_clear()
    assert build.build_id() == build.UNKNOWN
    build.build_id.cache_clear()
