"""The entry point of `sequoiawind-agent`."""

from sequoiawind import early_start


def main() -> None:
    """Run the program."""
    early_start.run("agent_daemon")


if __name__ == "__main__":
    main()
