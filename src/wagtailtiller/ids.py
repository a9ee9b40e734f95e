"""Identifier types that all parts of the system share."""

import enum
from typing import NewType

VmId = NewType("VmId", str)
MachineId = NewType("MachineId", str)
NodeId = NewType("NodeId", str)
RackId = NewType("RackId", str)
DataCentreId = NewType("DataCentreId", str)
RegionId = NewType("RegionId", str)
PoolId = NewType("PoolId", str)
QueueId = NewType("QueueId", str)
MemberId = NewType("MemberId", str)
TeamId = NewType("TeamId", str)
OrganisationId = NewType("OrganisationId", str)
GatewayId = NewType("GatewayId", str)
ControllerId = NewType("ControllerId", str)
WaveId = NewType("WaveId", str)
ChangeId = NewType("ChangeId", str)
Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)


class Priority(enum.IntEnum):
    """Scheduling class of a queue; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2
