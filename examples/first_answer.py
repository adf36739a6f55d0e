"""Repeats a request until a router answers, and prints how long that took.

Arguments: the time to count from, in seconds since the epoch, and the URL.
"""

import json
import sys
import time
import urllib.error
import urllib.request

PAUSE_S = 0.01
TRIES = 1000


def main() -> None:
    """Repeat the request until it is answered; fail after all tries."""
    began_s = float(sys.argv[1])
    body = {"model": "polar-briefing", "prompt": "first", "max_tokens": 1}
    request = urllib.request.Request(
        sys.argv[2],
        data=json.dumps(body).encode(),
        headers={"Authorization": "Bearer nordlys-0-token"},
    )
    for _ in range(TRIES):
        try:
            with urllib.request.urlopen(request, timeout=1.0):
                print(f"first answer after {time.time() - began_s:.3f} s")
                return
        except (urllib.error.URLError, OSError):
            time.sleep(PAUSE_S)
    sys.exit("the router did not answer")


if __name__ == "__main__":
    main()
