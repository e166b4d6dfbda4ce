"""Adapter to the users' platform: header names, object formats and HTTP calls, no decisions."""
