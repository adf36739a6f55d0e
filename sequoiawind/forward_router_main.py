"""The program `sequoiawind-forward-router`."""

from typing import Final

from sequoiawind import command_line, logs, settings
from sequoiawind.daemon import Daemon
from sequoiawind.forward_router_program import LEAVE_S, ForwardRouterProgram
from sequoiawind.options import ForwardRouterSettings

PURPOSE: Final = "Forward callers' requests to targets on the platform."


def main() -> None:
    """Run the program."""
    parser = command_line.daemon_parser("sequoiawind-forward-router", PURPOSE)
    args = parser.parse_args()
    loaded = settings.load(args.settings, ForwardRouterSettings)
    options = command_line.settings_or_exit(loaded)
    if not args.check_settings:
        run(options)


def run(options: ForwardRouterSettings) -> None:
    """Run a router until it has stopped."""
    logs.configure(options.logs)
    program = ForwardRouterProgram(options=options)
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=program.is_idle,
        on_leaving=program.leave,
        on_draining=program.drain,
        balancer_wait_s=LEAVE_S,
    )
    with daemon:
        program.listen()
        program.start(on_prepared=daemon.ready)
        daemon.run()
    program.log.info("stopped")


if __name__ == "__main__":
    main()
