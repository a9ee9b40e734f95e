"""Placement of requests on VMs, decided by one dispatcher per pool."""
