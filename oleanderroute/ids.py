"""Identifier types shared by all modules."""

from typing import NewType

HostId = NewType("HostId", str)
TargetId = NewType("TargetId", str)
ServiceName = NewType("ServiceName", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
RouteId = NewType("RouteId", str)
Workspace = NewType("Workspace", str)
RequestId = NewType("RequestId", str)
ClaimKey = NewType("ClaimKey", str)
ClaimOwner = NewType("ClaimOwner", str)
Fingerprint = NewType("Fingerprint", str)
Revision = NewType("Revision", int)
Era = NewType("Era", int)
Digest = NewType("Digest", str)
Incarnation = NewType("Incarnation", int)
