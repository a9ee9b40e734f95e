"""Fuzzer that runs the shipped decision code and checks it by an oracle."""
