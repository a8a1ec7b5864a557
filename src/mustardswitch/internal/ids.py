"""Identifier types shared by all packages."""

import typing

InstanceId = typing.NewType("InstanceId", str)
ZoneName = typing.NewType("ZoneName", str)
RegionName = typing.NewType("RegionName", str)
ServiceName = typing.NewType("ServiceName", str)
DatabaseName = typing.NewType("DatabaseName", str)
SlotId = typing.NewType("SlotId", str)
SectionName = typing.NewType("SectionName", str)
RequestId = typing.NewType("RequestId", str)
TransactionId = typing.NewType("TransactionId", str)
Term = typing.NewType("Term", int)
Offset = typing.NewType("Offset", int)
ServerId = typing.NewType("ServerId", str)
ANY_SERVER = ServerId("")
"""Stands for whichever server has an address."""
StatementName = typing.NewType("StatementName", str)
TenantName = typing.NewType("TenantName", str)
CallerKey = typing.NewType("CallerKey", str)
"""What a caller identifies itself with. It is a secret: it is not logged, forwarded or shown."""
