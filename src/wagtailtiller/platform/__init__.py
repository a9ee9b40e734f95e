"""Clients and wire formats of the users' platform.

The platform's names are translated into the package's own types here and
occur nowhere else in the package.
"""
