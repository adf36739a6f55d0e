"""The program `sequoiawind-forward-agent`."""

from functools import partial
from typing import Final

from sequoiawind import command_line, logs, settings
from sequoiawind.daemon import Daemon
from sequoiawind.forward_agent_program import ForwardAgentProgram
from sequoiawind.options import ForwardAgentSettings

PURPOSE: Final = "Watch one target and order its weights."


def main() -> None:
    """Run the program."""
    parser = command_line.daemon_parser("sequoiawind-forward-agent", PURPOSE)
    args = parser.parse_args()
    loaded = settings.load(args.settings, ForwardAgentSettings)
    options = command_line.settings_or_exit(loaded)
    if not args.check_settings:
        run(options, args.settings)


def run(options: ForwardAgentSettings, file: str) -> None:
    """Run an agent until it has stopped."""
    logs.configure(options.logs)
    program = ForwardAgentProgram(options=options)
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=lambda: True,
    )
    daemon.on_reload = partial(reload, program, file)
    with daemon:
        program.listen()
        program.start()
        daemon.ready()
        daemon.run()
    program.log.info("stopped")


def reload(program: ForwardAgentProgram, file: str) -> None:
    """Follow a settings file that may have changed; faults change nothing."""
    loaded = settings.load(file, ForwardAgentSettings)
    if loaded.is_error():
        faults = [str(fault) for fault in loaded.error]
        program.log.error("settings not read again", faults=faults)
        return
    program.follow_settings(loaded.ok)


if __name__ == "__main__":
    main()
