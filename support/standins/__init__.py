"""Small stand-ins for the platform's store, its VM interface and endpoints."""
