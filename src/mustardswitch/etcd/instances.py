"""The platform's list of live and leaving instances, which lags behind reality."""

import pydantic

INSTANCE_PREFIX = "platform/instances/"


class ListedInstance(pydantic.BaseModel):
    """One entry of the platform's list of instances."""

    instance: str
    zone: str
    region: str
    host: str
    port: int
    leaving: bool = False
