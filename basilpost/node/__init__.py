"""Assembly of the node process."""
