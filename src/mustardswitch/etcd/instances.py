"""The platform's list of live and leaving instances, which may be out of date."""

import pydantic

INSTANCE_PREFIX = "platform/instances/"


class ListedInstance(pydantic.BaseModel):
    """One entry of the platform's list of instances; ``port`` is its peers' port."""

    instance: str
    zone: str
    region: str
    host: str
    port: int
    leaving: bool = False
