"""The ledger of non-idempotent requests, by which each of them runs at most once."""
