"""Where the statements of a database run, as every path of a statement looks it up."""

import dataclasses

from mustardswitch.proxy import routes, service


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The newest known route of a database, and its service."""

    route: routes.Route
    service: service.Service
    only_forwards: bool = False
    """Whether the route's service is not known here, so that only the gateways of ``service``,
    which served the database before, may know it."""
