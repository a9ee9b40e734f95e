"""The program on an entry VM: callers' side, peers, and what it owns."""
