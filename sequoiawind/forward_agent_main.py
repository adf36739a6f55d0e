"""The program `sequoiawind-forward-agent`."""

from typing import Final

from twisted.internet.defer import Deferred

from sequoiawind import command_line, logs
from sequoiawind.daemon import Daemon
from sequoiawind.forward_agent_program import ForwardAgentProgram
from sequoiawind.options import ForwardAgentSettings

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
    daemon = Daemon(
        phase=program.board.phase,
        is_idle=lambda: True,
    )
    follower = program.settings_follower(file)
    daemon.on_reload = follower.reload
    with daemon:
        program.listen()
        program.start()
        daemon.ready()
        Deferred.fromCoroutine(follower.run())
        daemon.run()
    program.log.info("stopped")


if __name__ == "__main__":
    main()
