"""Starts the project's daemons with the command and the template of the deploy file."""

import asyncio
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

import http1

ROOT = Path(__file__).resolve().parents[2]

# Zones and numbers of machines of the small deployment.
ZONES = {"alfold-elso": 2, "alfold-masod": 3, "alfold-harmad": 1}

# Bounds and limits of the small deployment, by the names of the platform.
FIELDS = {
    "Bounds.GraceS": 8,
    "Bounds.DrainMs": 2000,
    "Bounds.ConfigApplyMs": 2000,
    "Bounds.BudgetSlack": 52,
    "Limits.CpuShare": 0.25,
}


def free_ports(count):
    """Returns loopback ports that are free now, below the range of outgoing connections."""
    found = []
    port = random.randrange(12000, 27000)
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            found.append(port)
    return found


class Daemon:
    """A daemon as a process of its own."""

    def __init__(self, name, zone, ports, store, folder):
        self.name = name
        self.zone = zone
        self.callers = f"127.0.0.1:{ports[0]}"
        self.ready = f"127.0.0.1:{ports[1]}"
        self.folder = folder
        self.settings = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        self.process = None
        self.started = 0.0
        fields = dict(FIELDS)
        fields.update({
            "NodeName": name, "Zone": zone, "Ip": "127.0.0.1", "Provider.Address": store,
            "Listen.Front": self.callers, "Listen.Ready": self.ready,
            "InternalPortRange.0": ports[2], "InternalPortRange.1": ports[3],
        })
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        template = (ROOT / role["template"]).read_text()
        text = re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", lambda found: str(fields[found.group(1)]), template)
        self.settings.write_text(text)
        words = role["run"].split()
        self.command = [str(self.settings) if word == "/etc/lentillead/local.conf" else word for word in words]

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.started = time.monotonic()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def is_ready(self):
        reply = await http1.send(self.ready, "GET", "/v1/readiness", [("Host", "x")], timeout=1.0)
        return reply.status == 200

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def resident_bytes(self):
        """Returns the resident memory of the process; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) * 1024 if found else 0


def make_daemons(store, folder, links=None):
    """Prepares the daemons of the small deployment, six in three zones.

    `links` names the address at which a daemon reaches the store, where that isn't `store`.
    """
    names = [(f"front-{zone}-{i + 1}", zone) for zone, count in ZONES.items() for i in range(count)]
    ports = free_ports(4 * len(names))
    links = links or {}
    return [Daemon(name, zone, ports[4 * i:4 * i + 4], links.get(name, store), folder)
            for i, (name, zone) in enumerate(names)]
