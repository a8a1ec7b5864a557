"""Decisions that an instance takes only where its settings ask for them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Features:
    """Features that the settings of an instance switch on."""

    admission: bool = False
    """Whether work for a server is admitted and ordered by what its callers need."""
    placement: bool = False
    """Whether work is placed by what servers and gateways answered lately."""
    pace: bool = False
    """Whether servers that have just started receive as much work as they answer well."""


NO_FEATURES = Features()
