#!/usr/bin/env python3
"""Stream a summary from lentillead, with the standard library only.

Usage: client.py ADDRESS KEY KIND PROMPT
"""

import http.client
import json
import sys


def stream(address, key, kind, prompt):
    """Yield the text of each event; raise an error if the stream is truncated."""
    connection = http.client.HTTPConnection(address, timeout=60)
    body = {"model": kind, "prompt": prompt, "max_tokens": 8, "stream": True}
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    response = connection.getresponse()
    if response.status != 200:
        raise RuntimeError(response.read().decode())
    failed = False
    for line in response:
        line = line.decode().strip()
        if line == "data: [DONE]":
            return
        if line.startswith("event: error"):
            failed = True
        elif line.startswith("data: "):
            event = json.loads(line.removeprefix("data: "))
            if failed:
                raise RuntimeError(event["detail"])
            yield event["choices"][0]["text"]
    raise RuntimeError("the stream is truncated")


def main():
    """Print the tokens as they arrive."""
    if len(sys.argv) != 5:
        sys.exit(__doc__.strip())
    for text in stream(*sys.argv[1:]):
        print(text, end="", flush=True)
    print()


if __name__ == "__main__":
    main()
