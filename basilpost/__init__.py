"""Basilpost: a serving system for models that span several VMs, and for plain services."""

__version__ = "0.1.0"
