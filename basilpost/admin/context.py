"""What all handlers of the administration API share."""

import dataclasses
from typing import Any

from basilpost.admin import audit_reader, changes, limits, ports, status
from basilpost.members import directory, replica


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """The parts of a node that operators' requests use."""

    log: Any
    changes: changes.Changes
    directory: directory.Directory
    replica: replica.Replica
    status: status.StatusService
    trail: audit_reader.AuditReader
    runs: ports.RunAdmin
    quarantine: ports.QuarantineAdmin
    requests: limits.Bucket
    rejected: limits.Bucket
    in_flight: limits.InFlight
    bootstrap_digest: str
