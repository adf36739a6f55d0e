"""The entry point of `sequoiawind-forward-agent`."""

from sequoiawind import early_start


def main() -> None:
    """Run the program."""
    early_start.run("forward_agent_daemon")


if __name__ == "__main__":
    main()
