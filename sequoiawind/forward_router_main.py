"""The program `sequoiawind-forward-router`."""

from functools import partial
from typing import Final

from sequoiawind import command_line, logs, settings
from sequoiawind.daemon import Daemon
from sequoiawind.forward_router_program import ForwardRouterProgram
from sequoiawind.options import ForwardRouterSettings

PURPOSE: Final = "Forward callers' requests to targets on the platform."


def main() -> None:
    """Run the program."""
    parser = command_line.daemon_parser("sequoiawind-forward-router", PURPOSE)
    args = parser.parse_args()
    loaded = settings.load(args.settings, ForwardRouterSettings)
    options = command_line.settings_or_exit(loaded)
    if not args.check_settings:
        run(options, args.settings)


def run(options: ForwardRouterSettings, file: str) -> None:
    """Run a router until it has stopped."""
    logs.configure(options.logs)
    program = ForwardRouterProgram(options=options)
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=program.is_idle,
        on_leaving=program.leave,
        on_draining=program.drain,
        balancer_wait_s=program.leave_s,
    )
    daemon.on_reload = partial(reload, program, file)
    with daemon:
        program.listen()
        program.start(on_prepared=daemon.ready)
        daemon.run()
    program.log.info("stopped")


def reload(program: ForwardRouterProgram, file: str) -> None:
    """Follow a settings file that may have changed; faults change nothing."""
    loaded = settings.load(file, ForwardRouterSettings)
    if loaded.is_error():
        faults = [str(fault) for fault in loaded.error]
        program.log.error("settings not read again", faults=faults)
        return
    program.follow_settings(loaded.ok)


if __name__ == "__main__":
    main()
