"""Basilpost: serves models that span several VMs, and the plain services beside them."""

__version__ = "0.1.0"
