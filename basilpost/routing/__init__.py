"""Admission of requests and choice of their targets: limits, queues, retries and quarantine."""
