"""Interfaces to the platform: object API, VM list and weight store."""
