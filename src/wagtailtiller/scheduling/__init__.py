"""Scheduling of tasks on the VMs of a pool.

The package does no I/O and takes the clock as an argument, so that tests run it
in virtual time.
"""
