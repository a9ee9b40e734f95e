"""The process side of a pool's owner: store, VMs and callers' requests."""
