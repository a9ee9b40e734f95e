"""Fleet capacity and maintenance: places requests, runs waves, moves VMs."""

__version__ = "0.1.0"
