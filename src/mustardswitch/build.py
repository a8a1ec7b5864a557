"""Identifies the build that a process runs, without version control or package metadata."""

import functools
import os
import pathlib
import zlib

SOURCES = pathlib.Path(__file__).parent
UNKNOWN = "unknown"


def identify(root: pathlib.Path) -> str:
    """Return eight hex digits that differ if the Python sources below a directory differ.

    Depends on the relative names and the contents of the files only. Raises OSError if a file
    cannot be read.
    """
    checksum = 0
    paths = {path.relative_to(root).as_posix(): path for path in _sources(root)}
    for name in sorted(paths):
        content = paths[name].read_bytes()
        checksum = zlib.crc32(f"{name}\0{len(content)}\0".encode(), checksum)
        checksum = zlib.crc32(content, checksum)
    return f"{checksum:08x}"


def _sources(root: pathlib.Path) -> list[pathlib.Path]:
    found = []
    for directory, directories, files in os.walk(root):
        if "__pycache__" in directories:
            directories.remove("__pycache__")
        found += [pathlib.Path(directory, name) for name in files if name.endswith(".py")]
    return found


@functools.cache
def build_id() -> str:
    """Return the identifier of this process's build; ``unknown`` if its sources are missing."""
    try:
        return identify(SOURCES)
    except OSError:
        return UNKNOWN
