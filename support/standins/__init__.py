"""Small stand-ins for the platform's store, VMs, machines and endpoints."""
