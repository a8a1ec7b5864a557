"""Errors of the document layer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """One problem of a document: where it is, what is wrong and how to correct it.

    ``line`` counts from 1 and is 0 when the problem has no line.
    """

    section: str
    line: int
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return (
            f"section {self.section}, line {self.line}, field {self.field}: "
            f"{self.message}; {self.remedy}"
        )


class DocumentError(Exception):
    """Base class of the errors of operations on the document."""


class InvalidDocumentError(DocumentError):
    """Raised when a section or the whole document fails its checks; nothing was changed."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class EditConflictError(DocumentError):
    """Raised when another edit changed the same field since the edited revision was read."""


class EditUnresolvedError(DocumentError):
    """Raised when no answer of the store showed whether an edit took effect."""
