"""The users' platform: its wire formats and clients, and nothing else.

Names on the wire are decoded here, once, into the package's own types.
"""
