"""Ownership of shards: session leases, claims and watched store prefixes."""
