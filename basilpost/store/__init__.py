"""Interfaces to the platform's object API and VM list, with HTTP and in-memory implementations."""
