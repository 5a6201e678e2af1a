#!/usr/bin/env python3
"""Compare requests through lentillead with the same requests sent to the stand-ins directly.

Usage: overhead.py ROUTER KEY ENGINE SERVICE COUNT

ROUTER, ENGINE and SERVICE are addresses, ip:port; KEY is the key of a branch whose sheet has the
kinds `stock`, `order` and `price-summary`. Direct and routed requests alternate over
connections that stay open. Prints milliseconds.
"""

import http.client
import json
import sys
import time

PROMPT = "prices of flour and sugar"
TOKENS = 8


def connect(address):
    """Open a connection that stays open between requests."""
    connection = http.client.HTTPConnection(address, timeout=60)
    connection.connect()
    return connection


def call(connection, method, path, body, headers):
    """Send one request and return the seconds until its complete response is read."""
    start = time.perf_counter()
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    answer = response.read()
    took = time.perf_counter() - start
    if response.status != 200:
        raise RuntimeError(answer.decode())
    return took


def completion(extra):
    """Return the body of a streamed completion."""
    body = {"prompt": PROMPT, "max_tokens": TOKENS, "stream": True, **extra}
    return json.dumps(body)


def quantile(values, share):
    """Return the value below which `share` of the values lie, in milliseconds."""
    return sorted(values)[int(len(values) * share)] * 1000


def main():
    """Measure direct and routed requests and print a table."""
    if len(sys.argv) != 6:
        sys.exit(__doc__.strip())
    router, key, engine, service, count = sys.argv[1:]
    bearer = {"Authorization": f"Bearer {key}"}
    routed, decode, plain = connect(router), connect(engine), connect(service)
    start = f"{int(time.time()):x}"
    seen = {}
    for number in range(int(count)):
        attempt = f"00000000000000aa-{start}-{number:x}-0"
        engine_body = completion({"attempt": attempt, "model": "arjegyzek-14b", "priority": 1})
        once = {**bearer, "Idempotency-Key": f"{start}-{number}"}
        calls = {
            "stock, direct": (plain, "POST", "/items", "{}", {}),
            "stock, routed": (routed, "POST", "/v1/services/stock/items", "{}", bearer),
            "order, routed": (routed, "POST", "/v1/services/order/orders", "{}", once),
            "completion, direct": (decode, "POST", "/v1/completions", engine_body,
                                   {"Content-Type": "application/json"}),
            "completion, routed": (routed, "POST", "/v1/completions",
                                   completion({"model": "price-summary"}), bearer),
        }
        for name, arguments in calls.items():
            seen.setdefault(name, []).append(call(*arguments))
    print(f"{'':20} {'p50 ms':>8} {'p99 ms':>8}")
    for name, values in seen.items():
        print(f"{name:20} {quantile(values, 0.5):8.2f} {quantile(values, 0.99):8.2f}")


if __name__ == "__main__":
    main()
