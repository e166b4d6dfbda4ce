"""Choice of a target for a request: limits, queues, retries and quarantine."""
