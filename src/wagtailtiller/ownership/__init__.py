"""Who owns what: leases in the store, claims, and their loss."""
