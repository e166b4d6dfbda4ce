"""One thin module for each command."""
