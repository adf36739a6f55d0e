"""The program `sequoiawind-forward-router`."""

from typing import Final

from twisted.internet.defer import Deferred

from sequoiawind import command_line, event_loop, logs, open_work
from sequoiawind.daemon import Daemon
from sequoiawind.forward_router_program import ForwardRouterProgram
from sequoiawind.held_up import HeldUpWatch
from sequoiawind.options import ForwardRouterSettings
from sequoiawind.stop_notes import StopNotes

PURPOSE: Final = "Forward callers' requests to targets on the platform."


def main() -> None:
    """Run the program."""
    command_line.run_daemon(
        "sequoiawind-forward-router", PURPOSE, ForwardRouterSettings, run
    )


def run(options: ForwardRouterSettings, file: str) -> None:
    """Run a router until it has stopped."""
    logs.configure(options.logs)
    program = ForwardRouterProgram(options=options)
    shutdown = program.shutdown
    notes = StopNotes(
        log=program.log,
        phase=program.board.phase,
        open_work=lambda: open_work.of_router(
            program.forwarder, program.site, program.closer
        ),
    )
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=shutdown.is_idle,
        on_leaving=shutdown.leave,
        on_draining=shutdown.drain,
        balancer_wait_s=lambda: shutdown.leave_s,
        work_s=lambda: shutdown.work_s,
        on_flushing=program.site.flush,
        on_idle=program.site.close_idle,
        on_ending=shutdown.end_requests,
        on_step=notes.note,
    )
    shutdown.since_signal_s = lambda: daemon.since_signal_s
    follower = program.settings_follower(file)
    daemon.on_reload = follower.reload
    with daemon:
        HeldUpWatch(clock=event_loop.reactor, log=program.log).start()
        program.listen()
        program.start(on_prepared=daemon.ready)
        Deferred.fromCoroutine(follower.run())
        daemon.run()
    notes.stopped()
