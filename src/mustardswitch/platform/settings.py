"""Settings of an instance on the platform, read from the YAML file made from the template."""

import collections.abc
import dataclasses
import os
import pathlib

import yaml

from mustardswitch.internal import ids, unlisted_servers
from mustardswitch.internal.admission import descriptors, memory
from mustardswitch.platform import errors
from mustardswitch.proxy import feature_set

PATH_VARIABLE = "MUSTARDSWITCH_BOOT"
"""Environment variable that holds the path of the settings file."""

MAX_COUNT = 10**9
MAX_MS = 24 * 3600 * 1000
"""Longest time in milliseconds that a setting may give: a day."""
DEFAULT_DRAIN_S = 7.0
"""The time on the platforms that are known, in seconds; servers go on answering for longer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """What the process may use; the defaults have room for 6,400 callers of an instance."""

    memory_mb: int = memory.DEFAULT_MB
    """Resident memory, in units of 1,000,000 bytes."""
    max_fds: int = descriptors.DEFAULT_MAX_FDS
    """Open descriptors; less if the system allows less."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """All settings of an instance."""

    instance: ids.InstanceId
    zone: ids.ZoneName
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName]
    """The region of each availability zone."""
    callers: Address
    """Address to which callers connect."""
    health: Address
    """Address at which the balancer checks readiness."""
    metrics: Address | None
    """Address at which metrics are served, in addition to the health address."""
    peers: Address
    """Address to which other instances send datagrams and forward statements."""
    store: Address
    promotions: Address
    stop_grace_s: float
    """Seconds between the request to stop and the forced end of the process."""
    features: feature_set.Features = feature_set.NO_FEATURES
    """Features that the deployment asks for."""
    limits: Limits = dataclasses.field(default_factory=Limits)
    listing_s: float = unlisted_servers.DEFAULT_LISTING_S
    """Seconds from the start of a backend server until it is listed."""
    drain_s: float = DEFAULT_DRAIN_S
    """Seconds for which a backend server gets new work once it has announced that it leaves."""


def settings_path() -> pathlib.Path:
    """Return the path of the settings file; raises SettingsError when it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingsError(f"variable {PATH_VARIABLE} is not set; give a path")
    return pathlib.Path(path)


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate the settings file; raises SettingsError."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error}; give a file") from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> Settings:
    """Parse and validate settings; raises SettingsError.

    The error names the field, the remedy and ``source``, such as the path of the file.
    """
    try:
        fields = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise errors.SettingsError(f"{source}: not valid YAML: {error}") from error
    if not isinstance(fields, dict):
        raise errors.SettingsError(f"{source}: no fields; write a mapping")
    reader = _Reader(fields=fields, source=source)
    regions = reader.value("regions", dict)
    return Settings(
        instance=ids.InstanceId(reader.name("instance")),
        zone=ids.ZoneName(reader.name("zone")),
        regions={
            ids.ZoneName(str(zone)): ids.RegionName(str(region)) for zone, region in regions.items()
        },
        callers=reader.address("callers"),
        health=reader.address("health"),
        metrics=reader.address("metrics") if fields.get("metrics") else None,
        peers=reader.address("peers"),
        store=reader.address("store"),
        promotions=reader.address("promotions"),
        stop_grace_s=reader.seconds("stop_grace_s"),
        features=_read_features(reader) if fields.get("contracts") else feature_set.NO_FEATURES,
        limits=_read_limits(reader) if fields.get("limits") else Limits(),
        listing_s=_read_listing_s(reader),
        drain_s=_read_drain_s(reader),
    )


def _read_listing_s(reader: "_Reader") -> float:
    """Return the time in which servers are listed: they write an entry about once a heartbeat."""
    if not reader.fields.get("servers"):
        return unlisted_servers.DEFAULT_LISTING_S
    given = _Reader(fields=reader.value("servers", dict), source=f"{reader.source}: servers")
    if given.fields.get("heartbeat_ms") is None:
        return unlisted_servers.DEFAULT_LISTING_S
    return unlisted_servers.time_to_list_s(given.seconds("heartbeat_ms") / 1000)


def _read_drain_s(reader: "_Reader") -> float:
    """Return the time for which leaving servers get new work."""
    if not reader.fields.get("servers"):
        return DEFAULT_DRAIN_S
    given = _Reader(fields=reader.value("servers", dict), source=f"{reader.source}: servers")
    if given.fields.get("drain_ms") is None:
        return DEFAULT_DRAIN_S
    return given.milliseconds("drain_ms") / 1000


def _read_limits(reader: "_Reader") -> Limits:
    """Return the limits; one that is omitted has its default."""
    given = _Reader(fields=reader.value("limits", dict), source=f"{reader.source}: limits")
    return Limits(
        memory_mb=given.count("memory_mb", memory.DEFAULT_MB),
        max_fds=given.count("max_fds", descriptors.DEFAULT_MAX_FDS),
    )


def _read_features(reader: "_Reader") -> feature_set.Features:
    """Return the features that the platform's contracts of the deployment ask for."""
    contracts = reader.value("contracts", list)
    return feature_set.Features(
        admission="admission" in contracts,
        placement="placement" in contracts,
        pace="health" in contracts,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reader:
    """Reads typed fields; raises SettingsError that names an invalid one."""

    fields: collections.abc.Mapping[str, object]
    source: str

    def value(self, name: str, kind: type) -> object:
        value = self.fields.get(name)
        if not isinstance(value, kind) or isinstance(value, bool):
            raise errors.SettingsError(
                f"{self.source}: field {name} is {value!r:.64}; give a value of type"
                f" {getattr(kind, '__name__', kind)}"
            )
        return value

    def name(self, name: str) -> str:
        value = self.value(name, str)
        if not value or "/" in value or " " in value:
            raise errors.SettingsError(
                f"{self.source}: field {name} is {value!r:.64}; give a name without blanks and"
                " slashes"
            )
        return value

    def address(self, name: str) -> Address:
        value = self.value(name, str)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise errors.SettingsError(
                f"{self.source}: field {name} is {value!r:.64}; give IP:PORT"
            )
        return Address(host=host, port=int(port))

    def count(self, name: str, default: int) -> int:
        value = default if self.fields.get(name) is None else self.value(name, int | float)
        if not 1 <= value < MAX_COUNT:
            raise errors.SettingsError(
                f"{self.source}: field {name} is {value!r}; give a number from 1"
            )
        return int(value)

    def milliseconds(self, name: str) -> float:
        value = self.value(name, int | float)
        if not 0 < value <= MAX_MS:
            raise errors.SettingsError(
                f"{self.source}: field {name} is {value!r}; give milliseconds above 0, at most"
                f" {MAX_MS}"
            )
        return float(value)

    def seconds(self, name: str) -> float:
        value = self.value(name, int | float)
        if value <= 0:
            raise errors.SettingsError(
                f"{self.source}: field {name} is {value!r}; give seconds above 0"
            )
        return float(value)
