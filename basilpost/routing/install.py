"""Registers the services of this package with a node's kernel."""

from basilpost.core import kernel, names
from basilpost.routing import admission, quarantine


def install(kernel: kernel.Kernel) -> None:
    """Registers quarantine and admission; the services of the lower layers must be registered."""
    kernel.register(names.QUARANTINE, quarantine.CrashQuarantine(kernel=kernel))
    kernel.register(names.ADMISSION, admission.QueuedAdmission(kernel=kernel))
