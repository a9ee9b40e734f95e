"""Interfaces to external systems: the store, the platform and the VMs."""
