"""The pydantic models that check the operators' document.

The document has one section for the fleet and one for each service. The field descriptions here
are the source of docs/DOCUMENT.md.
"""

import enum
from typing import Annotated

import pydantic

from mustardswitch.internal import ids

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class Model(pydantic.BaseModel):
    """Base class that rejects unknown fields, so that a misspelt one is reported."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Confirmation(enum.Enum):
    """What a write waits for before it is acknowledged."""

    MAJORITY = "majority"
    """A majority of the slots hold it under the primary's term."""
    TERM = "term"
    """A majority of the slots still promise the primary's term; an acknowledged write may be lost
    with the primary."""


class ReadPreference(enum.Enum):
    """Which slots a read is sent to first."""

    REPLICAS_IN_REGION = "replicas-in-region"
    """Replicas of the caller's region, nearest first, then the primary."""
    NEAREST = "nearest"
    """The nearest slot, primary or replica."""


class Region(Model):
    """A region and its availability zones."""

    name: Name = pydantic.Field(description="Name of the region.")
    zones: list[Name] = pydantic.Field(
        min_length=1, description="Names of the availability zones in the region."
    )


class FleetSection(Model):
    """Regions and availability zones."""

    owner: str = pydantic.Field(min_length=1, description="Team that edits this section.")
    regions: list[Region] = pydantic.Field(min_length=1, description="All regions.")


class Slot(Model):
    """One backend server of a database group."""

    id: Name = pydantic.Field(description="Name of the slot, unique in the document.")
    zone: Name = pydantic.Field(description="Availability zone of the backend server.")
    host: pydantic.IPvAnyAddress = pydantic.Field(description="IP address of the server.")
    port: int = pydantic.Field(ge=1, le=65535, description="TCP port of the server.")
    leaving: bool = pydantic.Field(
        default=False, description="True when the server is to receive no new work."
    )


class Database(Model):
    """One database and the slots of its group."""

    name: Name = pydantic.Field(description="Name that callers connect to, unique.")
    connections: int = pydantic.Field(
        ge=12, le=10000, description="Connections that the system may hold to it in total."
    )
    slots: list[Slot] = pydantic.Field(
        min_length=1, max_length=7, description="Backend servers of the group."
    )


class Caller(Model):
    """One login."""

    name: str = pydantic.Field(
        min_length=1, max_length=32, description="Name that the caller logs in with."
    )
    password_hash: str = pydantic.Field(
        pattern=r"^[0-9a-f]{40}$",
        description="Hexadecimal SHA-1 of the SHA-1 of the password.",
    )


class ServiceSection(Model):
    """A service: its databases, callers and policy."""

    owner: str = pydantic.Field(min_length=1, description="Team that edits this section.")
    databases: list[Database] = pydantic.Field(
        min_length=1, description="Databases of the service."
    )
    callers: list[Caller] = pydantic.Field(
        default=[], description="Logins; with none, any name is accepted without a password."
    )
    confirmation: Confirmation = pydantic.Field(
        default=Confirmation.MAJORITY, description="What a write waits for."
    )
    read_preference: ReadPreference = pydantic.Field(
        default=ReadPreference.REPLICAS_IN_REGION,
        description="Which slots reads are sent to first.",
    )
    statement_deadline_s: float = pydantic.Field(
        default=5.0, gt=0, le=3600, description="Seconds that a statement may take in total."
    )
    replica_wait_ms: float = pydantic.Field(
        default=30.0,
        ge=0,
        le=10000,
        description=(
            "Milliseconds a read waits for a replica to reach the session's minimum position."
        ),
    )
    suspicion_ms: float = pydantic.Field(
        default=600.0,
        ge=100,
        le=60000,
        description="Milliseconds without an answer after which a primary is suspected.",
    )
    request_retention_s: float = pydantic.Field(
        default=86400.0,
        ge=60,
        description="Seconds for which a request id is kept.",
    )


Section = FleetSection | ServiceSection
FLEET_SECTION = ids.SectionName("fleet")
SERVICE_PREFIX = "service-"


def section_model(name: ids.SectionName) -> type[FleetSection] | type[ServiceSection] | None:
    """Return the model of the section ``name``, or None for a name that no section may have."""
    if name == FLEET_SECTION:
        return FleetSection
    if name.startswith(SERVICE_PREFIX) and len(name) > len(SERVICE_PREFIX):
        return ServiceSection
    return None
