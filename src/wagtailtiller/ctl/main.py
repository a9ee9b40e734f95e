"""Entry point of ``wagtailctl``, the command line for operators."""

from cleo.application import Application

import wagtailtiller
from wagtailtiller.ctl import fleet_commands
from wagtailtiller.ctl import job_commands
from wagtailtiller.ctl import node_commands
from wagtailtiller.ctl import settings_commands

_COMMANDS = (
    settings_commands.ValidateCommand,
    settings_commands.ApplyCommand,
    settings_commands.GetCommand,
    settings_commands.ExplainCommand,
    settings_commands.HistoryCommand,
    node_commands.PoolCommand,
    node_commands.QueueCommand,
    fleet_commands.VmCommand,
    fleet_commands.WaveCommand,
    fleet_commands.GatewayCommand,
    fleet_commands.StatusCommand,
    job_commands.OwnersCommand,
    job_commands.JobsCommand,
    job_commands.JobCommand,
    job_commands.OrganisationsCommand,
    job_commands.WavesCommand,
)


def main() -> int:
    """Run the command given on the command line; return its exit code."""
    application = Application("wagtailctl", wagtailtiller.__version__)
    for command in _COMMANDS:
        application.add(command())
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
