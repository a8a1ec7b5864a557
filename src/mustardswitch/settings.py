"""Settings of an entry instance, read from a YAML file."""

import functools
import pathlib

import pydantic
import ruamel.yaml
import ruamel.yaml.error

from mustardswitch.internal import ids


class SettingsError(Exception):
    """Raised when the settings file cannot be read or has an unusable value."""


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Endpoint(_Model):
    """An IP address and a TCP port."""

    host: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)

    @property
    def address(self) -> str:
        """The address as text."""
        return str(self.host)


class Seed(Endpoint):
    """An instance to contact first, for a start while the store is unavailable."""

    instance: str
    zone: str
    region: str


class Translation(_Model):
    """Replaces an address of the document or of a peer by another one, for example a tunnel's."""

    address: Endpoint
    via: Endpoint


class TlsFiles(_Model):
    """Files of a certificate, its key and the authority that signs the other side's certificate."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path


class Tls(_Model):
    """TLS files for each kind of connection; a kind that is omitted uses no TLS."""

    callers: TlsFiles | None = None
    peers: TlsFiles | None = None
    backends: TlsFiles | None = None


class Settings(_Model):
    """The settings of an entry instance."""

    instance: str = pydantic.Field(
        min_length=1, max_length=64, description="Name of the instance, unique in the fleet."
    )
    zone: str = pydantic.Field(min_length=1, description="Its availability zone.")
    region: str = pydantic.Field(min_length=1, description="The region of the zone.")
    callers: Endpoint = pydantic.Field(description="Where callers connect (MySQL protocol).")
    peers: Endpoint = pydantic.Field(description="Where instances and operators connect (gRPC).")
    health: Endpoint = pydantic.Field(
        description="Where the load balancer and scrapers request `/ready`, `/live`, `/metrics`."
    )
    store: Endpoint = pydantic.Field(description="The platform's key-value store.")
    token_keys: list[str] = pydantic.Field(
        min_length=1,
        description="Keys of session tokens, 16 characters or more; the last one signs.",
    )
    drain_s: float = pydantic.Field(
        default=20.0, gt=0, le=3600, description="Seconds for work in flight after SIGTERM."
    )
    max_callers: int = pydantic.Field(
        default=8000, ge=1, description="Connections of callers accepted at once."
    )
    max_packet_bytes: int = pydantic.Field(
        default=4_194_304, ge=1024, description="Largest statement accepted, in bytes."
    )
    backend_user: str = pydantic.Field(
        default="mustardswitch", description="Login at backend servers."
    )
    backend_password: str = pydantic.Field(default="", description="Password of that login.")
    trace_file: pathlib.Path | None = pydantic.Field(
        default=None,
        description="File for trace spans, one JSON object per line; without it, none are made.",
    )
    advertise: Endpoint | None = pydantic.Field(
        default=None, description="Where peers reach this instance, when it differs from `peers`."
    )
    seeds: list[Seed] = pydantic.Field(
        default=[],
        description="Instances to contact first when the store is unavailable at the start.",
    )
    translations: list[Translation] = pydantic.Field(
        default=[], description="Addresses that this instance reaches by other ones."
    )
    tls: Tls = pydantic.Field(
        default=Tls(), description="TLS files; a kind of connection that is omitted uses no TLS."
    )

    @pydantic.field_validator("token_keys")
    @classmethod
    def _check_keys(cls, keys: list[str]) -> list[str]:
        for key in keys:
            if len(key) < 16:
                raise ValueError("a token key has at least 16 characters")
        return keys

    def translate(self, host: str, port: int) -> tuple[str, int]:
        """Return the host and port by which to reach an address, the same without a translation."""
        via = self._via_by_address.get((host, port))
        return (via.address, via.port) if via else (host, port)

    @functools.cached_property
    def _via_by_address(self) -> dict[tuple[str, int], Endpoint]:
        return {(item.address.address, item.address.port): item.via for item in self.translations}

    @property
    def instance_id(self) -> ids.InstanceId:
        """The instance's name as an id."""
        return ids.InstanceId(self.instance)


def parse_settings(text: str, *, source: str) -> Settings:
    """Parse and check the text of a settings file, named ``source`` in errors.

    Raises SettingsError with the file, field, value and remedy of each problem.
    """
    try:
        loaded = ruamel.yaml.YAML(typ="safe").load(text)
    except ruamel.yaml.error.YAMLError as error:
        raise SettingsError(f"{source}: not valid YAML: {error}; correct the syntax") from error
    try:
        return Settings.model_validate(loaded)
    except pydantic.ValidationError as error:
        lines = [
            f"{source}: field {'.'.join(map(str, detail['loc'])) or '(whole file)'}: "
            f"{detail['msg']} (value {detail['input']!r:.80}); see docs/SETTINGS.md"
            for detail in error.errors()
        ]
        raise SettingsError("\n".join(lines)) from error


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file; raises SettingsError."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}; check the path") from error
    return parse_settings(text, source=str(path))
