"""Sends one HTTP request and prints the reply, for the demo."""

import argparse
import urllib.request

TIMEOUT_S = 10.0


def main() -> None:
    """Send the request that the command line describes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("url")
    parser.add_argument("--header", action="append", default=[])
    parser.add_argument("--data")
    args = parser.parse_args()
    headers = dict(line.split(": ", 1) for line in args.header)
    data = None
    if args.data is not None:
        data = args.data.encode()
        headers["Content-Type"] = "application/json"
    request = urllib.request.Request(args.url, data=data, headers=headers)
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        print(response.read().decode())


if __name__ == "__main__":
    main()
