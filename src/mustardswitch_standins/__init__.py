"""Emulators of the external systems, fault-injecting network links, and load and fault tools."""
