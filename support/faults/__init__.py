"""Real processes under kills, freezes, cuts and outages."""
