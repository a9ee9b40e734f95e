"""Fleet capacity and maintenance management.

Places requests on VMs, runs maintenance waves and moves VMs between pools.
"""

__version__ = "0.1.0"
