"""The operators' HTTP interface and audit trail."""
