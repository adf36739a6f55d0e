"""The program `sequoiawind-forward-agent`."""

from typing import Final

from twisted.internet.defer import Deferred

from sequoiawind import command_line, event_loop, logs
from sequoiawind.daemon import Daemon
from sequoiawind.forward_agent_program import ForwardAgentProgram
from sequoiawind.held_up import HeldUpWatch
from sequoiawind.options import ForwardAgentSettings
from sequoiawind.stop_notes import StopNotes

PURPOSE: Final = "Watch one target and order it to load weights."


def main() -> None:
    """Run the program."""
    command_line.run_daemon(
        "sequoiawind-forward-agent", PURPOSE, ForwardAgentSettings, run
    )


def run(options: ForwardAgentSettings, file: str) -> None:
    """Run an agent until it has stopped."""
    logs.configure(options.logs)
    program = ForwardAgentProgram(options=options)
    notes = StopNotes(log=program.log, phase=program.board.phase)
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=lambda: True,
        on_step=notes.note,
    )
    follower = program.settings_follower(file)
    daemon.on_reload = follower.reload
    with daemon:
        HeldUpWatch(clock=event_loop.reactor, log=program.log).start()
        program.listen()
        program.start()
        daemon.ready()
        Deferred.fromCoroutine(follower.run())
        daemon.run()
    notes.stopped()
