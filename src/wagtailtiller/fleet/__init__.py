"""The fleet aggregate: pool membership of VMs and availability budgets."""

from wagtailtiller.fleet.aggregate import apply
from wagtailtiller.fleet.aggregate import count_states
from wagtailtiller.fleet.aggregate import unavailable
from wagtailtiller.fleet.commands import BeginLeave
from wagtailtiller.fleet.commands import CancelLeave
from wagtailtiller.fleet.commands import CancelWave
from wagtailtiller.fleet.commands import Command
from wagtailtiller.fleet.commands import Drained
from wagtailtiller.fleet.commands import Enrol
from wagtailtiller.fleet.commands import Evict
from wagtailtiller.fleet.commands import Fail
from wagtailtiller.fleet.commands import Return
from wagtailtiller.fleet.commands import StartWave
from wagtailtiller.fleet.model import Evicted
from wagtailtiller.fleet.model import Fleet
from wagtailtiller.fleet.model import Maintain
from wagtailtiller.fleet.model import Move
from wagtailtiller.fleet.model import VmRecord
from wagtailtiller.fleet.model import VmState
from wagtailtiller.fleet.model import Wave
from wagtailtiller.fleet.model import WaveState

__all__ = [
    "BeginLeave",
    "CancelLeave",
    "CancelWave",
    "Command",
    "Drained",
    "Enrol",
    "Evict",
    "Evicted",
    "Fail",
    "Fleet",
    "Maintain",
    "Move",
    "Return",
    "StartWave",
    "VmRecord",
    "VmState",
    "Wave",
    "WaveState",
    "apply",
    "count_states",
    "unavailable",
]
