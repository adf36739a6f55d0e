"""The program `sequoiawind-router`."""

from typing import Final

from sequoiawind import command_line, logs
from sequoiawind.daemon import Daemon, work_time_s
from sequoiawind.options import RouterSettings
from sequoiawind.router_program import RouterProgram
from sequoiawind.stop_notes import StopNotes

PURPOSE: Final = "Route callers' requests to model engines and plain services."


def main() -> None:
    """Run the program."""
    command_line.run_daemon(
        "sequoiawind-router",
        PURPOSE,
        RouterSettings,
        lambda options, file: run(options),
    )


def run(options: RouterSettings) -> None:
    """Run a router until it has stopped."""
    logs.configure(options.logs)
    program = RouterProgram(options=options)
    notes = StopNotes(
        log=program.log,
        phase=program.board.phase,
        open_work=program.open_work,
    )
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=program.is_idle,
        on_draining=program.stop_listening,
        balancer_wait_s=lambda: options.router.balancer_wait_s,
        work_s=lambda: work_time_s(options.router.grace_s),
        on_ending=program.end_requests,
        on_step=notes.note,
    )
    with daemon:
        program.listen()
        program.start(on_ready=daemon.ready)
        daemon.run()
    notes.stopped()
