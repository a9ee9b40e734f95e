"""The demonstration: a whole site on loopback, judged by an oracle."""
