"""Development tools, which are not part of the distribution."""
