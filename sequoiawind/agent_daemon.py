"""The program `sequoiawind-agent`."""

from typing import Final

from sequoiawind import command_line, logs
from sequoiawind.agent_program import AgentProgram
from sequoiawind.daemon import Daemon
from sequoiawind.options import AgentSettings
from sequoiawind.stop_notes import OpenRequest, OpenWork, StopNotes

PURPOSE: Final = "Admit, queue and pass on the requests for one target."


def main() -> None:
    """Run the program."""
    command_line.run_daemon(
        "sequoiawind-agent",
        PURPOSE,
        AgentSettings,
        lambda options, file: run(options),
    )


def run(options: AgentSettings) -> None:
    """Run an agent until it has stopped."""
    logs.configure(options.logs)
    program = AgentProgram(options=options)
    notes = StopNotes(
        log=program.log,
        phase=program.board.phase,
        open_work=lambda: OpenWork(
            requests=[
                OpenRequest(request_id=attempt_id)
                for attempt_id, relay in program.agent.relays.items()
                if relay.end is None
            ]
        ),
    )
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=program.is_idle,
        on_leaving=program.agent.stop_admitting,
        on_step=notes.note,
    )
    with daemon:
        program.listen()
        # An agent needs no configuration to serve its target.
        daemon.ready()
        program.start()
        daemon.run()
    notes.stopped()
