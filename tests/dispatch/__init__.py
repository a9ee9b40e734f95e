"""Tests of placing requests on VMs."""
