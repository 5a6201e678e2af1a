"""A worker leaves just after one daemon could reach the store again."""

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from daemons import make_daemons  # noqa: E402
from link import Link  # noqa: E402
from site_ import ORDERS, ZONES, run  # noqa: E402
from workers import Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The daemon that is cut off from the store; it is the only one of its zone.
CUT_OFF = "front-alfold-harmad-1"

CYCLES = 8
CUT_S = 7.5
REST_S = 4.2

# After a cut: the entry of a worker that doesn't report `draining` is removed, and the worker goes on
# serving for `DrainMs` and a little longer.
LEAVE_S = 0.6
SERVES_S = 3.5

# Bounds of the deployment.
DRAIN_S = 2.0
STABLE_S = 3.0

# Requests a second of orders and stock enquiries by zone.
TRAFFIC = {"alfold-elso": 22.0, "alfold-masod": 25.0, "alfold-harmad": 21.5}


async def traffic(site, daemons, per_s, rng, sent):
    async def ask(daemon, *request):
        at = site.now()
        request, _, _ = await site.ask_kept(daemon, *request)
        sent[request] = (at, daemon.name)

    while True:
        await asyncio.sleep(rng.expovariate(per_s))
        daemon = rng.choice(daemons)
        if rng.random() < 0.71:
            site.spawn(ask(daemon, "POST", "/order/1", b"o" * 600))
        else:
            site.spawn(ask(daemon, "GET", "/stock/1"))


async def leave(site, worker, left):
    """Removes the entry of `worker`, which goes on serving for a while and then ends."""
    site.store.remove("servers", worker.id)
    left[worker.id] = site.now()
    site.record(f"the store has removed the entry of {worker.id}")
    await asyncio.sleep(SERVES_S)
    site.record(f"worker {worker.id} ends")
    worker.up = False
    worker.server.crash()


async def main(site):
    rng = random.Random(31)
    arrivals = []

    def record(event, worker, request):
        site.record(f"worker {worker.id} {event} {request.header('request-id')}")
        if event == "reaches":
            arrivals.append((site.now(), worker.id, request.header("request-id")))

    def make(number):
        return Worker(site.store, record, f"w{number}", ORDERS, list(ZONES)[number % 3], 6, 24, 0.06)

    link = Link()

    def daemons(store, folder):
        link.start(store)
        return make_daemons(store, folder, {CUT_OFF: link.address})

    if not await site.open([make(number) for number in range(3)], daemons, settle_s=4.0):
        return 2
    sent, left, heals = {}, {}, []
    for zone, per_s in TRAFFIC.items():
        site.spawn(traffic(site, [d for d in site.daemons if d.zone == zone], per_s, rng, sent))
    await asyncio.sleep(1.0)
    for cycle in range(CYCLES):
        if TROUBLE:
            await link.cut()
            site.record(f"{CUT_OFF} is cut off from the store")
        await asyncio.sleep(CUT_S - 1.0)
        joining = make(3 + cycle)
        site.workers.append(joining)
        await joining.start()
        await asyncio.sleep(1.0)
        if TROUBLE:
            link.heal()
            site.record(f"{CUT_OFF} reaches the store again")
            heals.append(site.now())
        await asyncio.sleep(LEAVE_S)
        site.spawn(leave(site, site.workers[cycle], left))
        await asyncio.sleep(REST_S - LEAVE_S)
    await asyncio.sleep(1.0)

    broken = 0
    for at, worker, request in arrivals:
        since = at - left.get(worker, at)
        if since <= DRAIN_S or request not in sent:
            continue
        began, daemon = sent[request]
        healed = max((heal for heal in heals if heal <= began), default=0.0)
        in_touch = daemon != CUT_OFF or began >= healed + STABLE_S
        site.record(f"{request} reached {worker} {since:.3f} s after its entry was removed, from {daemon}, "
                    f"{began - healed:.3f} s after the cut, {'in touch' if in_touch else 'not in touch'}")
        broken += in_touch
    summary = f"{len(left)} workers left, {broken} requests reached them too late from daemons in touch, of {len(arrivals)}"
    site.record(summary)
    print(summary)
    return 1 if broken else 0


run(main, HERE / "record.txt")
