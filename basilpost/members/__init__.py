"""Nodes that act together: leases, peer streams and replicated objects."""
