"""The `basilpost` command with its subcommands."""

import click

import basilpost
from basilpost.cli import (
    audit,
    config,
    crash_causes,
    demo,
    emulate,
    explain,
    failure_domain,
    key,
    load,
    node,
    pressure,
    quarantine,
    questionnaire,
    runs,
    status,
)


@click.group()
@click.version_option(basilpost.__version__)
def main() -> None:
    """Serves models that span several VMs, and the plain services beside them."""


main.add_command(audit.audit)
main.add_command(config.config)
main.add_command(crash_causes.crash_causes)
main.add_command(demo.command, name="demo")
main.add_command(emulate.command)
main.add_command(explain.command, name="explain")
main.add_command(failure_domain.failure_domain)
main.add_command(key.key)
main.add_command(load.command)
main.add_command(node.command, name="node")
main.add_command(pressure.pressure)
main.add_command(quarantine.quarantine)
main.add_command(questionnaire.questionnaire)
main.add_command(runs.runs)
main.add_command(status.status)
