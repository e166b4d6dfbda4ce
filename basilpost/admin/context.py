"""The services and limits that all handlers of the administration API share."""

import dataclasses
from typing import Any

from basilpost.admin import audit_reader, changes, limits, ports, status
from basilpost.members import directory, replica


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """The services of one node that requests of operators use.

    Attributes:
        requests: Limit on requests with a valid token.
        rejected_tokens: Limit on requests without one.
        bootstrap_digest: SHA-256 of the token of the first administrator, empty for none.
    """

    log: Any
    changes: changes.Changes
    directory: directory.Directory
    replica: replica.Replica
    status: status.StatusService
    audit_reader: audit_reader.AuditReader
    runs: ports.RunAdmin
    quarantine: ports.QuarantineAdmin
    requests: limits.TokenBucket
    rejected_tokens: limits.TokenBucket
    in_flight: limits.InFlightCounter
    bootstrap_digest: str
