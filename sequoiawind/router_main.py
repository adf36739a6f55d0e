"""The entry point of `sequoiawind-router`."""

from sequoiawind import early_start


def main() -> None:
    """Run the program."""
    early_start.run("router_daemon")


if __name__ == "__main__":
    main()
