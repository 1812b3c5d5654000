"""Stand-ins for the review's cases: state service, cloud, workers, users, load balancer and platform.

They follow the protocol page and run in one process, on loopback addresses and the real clock. The
controllers are the project's own program, started as separate processes by `Platform` with the
command of `deploy/service.toml`. Left out, because no case needs it: gangs of several tasks, progress that
is taken up again after a save, and spot machines.
"""

import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DUMPS = json.JSONEncoder(separators=(",", ":")).encode


def now():
    return time.monotonic()


class Record:
    """The file `record.txt`: one line for each message, start and end, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.begin = now()
        self.muted = set()

    def __call__(self, kind, *words):
        if kind in self.muted:
            return
        self.file.write(f"{now() - self.begin:8.3f} {kind} " + " ".join(str(w) for w in words) + "\n")


# ---------------------------------------------------------------- HTTP


class Dropped(Exception):
    """Raised by a handler that gives no answer: the connection is closed."""


async def read_message(reader):
    """Reads one HTTP message; returns (start line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


async def serve_http(handler, host="127.0.0.1", port=0):
    """Serves `handler(method, path, query, body) -> (status, bytes)`; returns (server, port)."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                try:
                    status, answer = await handler(method, path, query, body)
                except Dropped:
                    return
                if isinstance(answer, (dict, list)):
                    answer = DUMPS(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(answer))
                    + answer
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 20, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def call(port, method, path, body=None, timeout=5.0, host="127.0.0.1"):
    """Sends one request on a new connection. Returns (status, bytes, headers); raises OSError or
    asyncio.TimeoutError when there is no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        try:
            data = b"" if body is None else DUMPS(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("no answer")
            line, headers, answer = message
            return int(line.split(" ")[1]), answer, headers
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


# ---------------------------------------------------------------- state service


class Bucket:
    """A rate limit with bursts of some seconds' worth."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.most, self.at = rate, rate * burst_s, now()
        self.level = self.most

    def take(self, n=1.0):
        t = now()
        self.level = min(self.most, self.level + (t - self.at) * self.rate)
        self.at = t
        if self.level < n:
            return False
        self.level -= n
        return True


class State:
    """The state service. It has one port for each controller, so that one alone can be refused."""

    def __init__(self, site, record):
        self.site, self.record = site, record
        self.generation = 1
        self.values = {}  # key -> (encoded value, stamp, permit)
        self.keys = []
        self.log_revisions, self.log_events = [], []
        self.permits = {}  # permit -> [ttl, end, keys]
        self.next_permit = 7
        self.changed = asyncio.Event()
        self.requests = Bucket(site["state"]["rps"])
        self.changes = Bucket(site["state"]["write_rps"])
        self.refused = set()  # names of nodes that get 503
        self.ports = {}
        self.servers = []

    async def start(self, nodes):
        for node in nodes:
            def handler(method, path, query, body, node=node):
                return self.handle(node, method, path, query, body)

            server, port = await serve_http(handler)
            self.servers.append(server)
            self.ports[node] = port
        asyncio.ensure_future(self.expire_loop())

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.02)
            t = now()
            for permit in [p for p, v in self.permits.items() if v[1] < t]:
                self.end_permit(permit)

    def end_permit(self, permit):
        entry = self.permits.pop(permit, None)
        if entry is None:
            return
        keys = [k for k in entry[2] if k in self.values and self.values[k][2] == permit]
        self.record("state", f"lease {permit} ended, keys {keys}")
        if keys:
            self.apply([{"delete": k} for k in keys])

    def apply(self, changes):
        """Carries out changes as one revision."""
        self.generation += 1
        stamp = self.generation
        for change in changes:
            if "write" in change:
                key, permit = change["write"], change.get("permit")
                encoded = DUMPS(change["data"])
                if key not in self.values:
                    bisect.insort(self.keys, key)
                self.values[key] = (encoded, stamp, permit)
                if permit is not None:
                    self.permits[permit][2].add(key)
                event = f'{{"write":"{key}","data":{encoded},"stamp":{stamp}}}'
            else:
                key = change["delete"]
                if key not in self.values:
                    continue
                del self.values[key]
                del self.keys[bisect.bisect_left(self.keys, key)]
                event = f'{{"delete":"{key}","stamp":{stamp}}}'
            self.log_revisions.append(stamp)
            self.log_events.append((key, event))
        if len(self.log_revisions) > 20_000:
            del self.log_revisions[:10_000]
            del self.log_events[:10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, node, method, path, query, body):
        if node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take():
            return 429, {"error": "too many"}
        arguments = dict(urllib.parse.parse_qsl(query))
        if path == "/watch":
            return await self.watch(arguments)
        if path == "/store":
            return self.listing(arguments)
        if path.startswith("/store/"):
            found = self.values.get(urllib.parse.unquote(path[len("/store/"):]))
            if found is None:
                return 404, {"generation": self.generation}
            return 200, f'{{"k":"{path[7:]}","data":{found[0]},"stamp":{found[1]}}}'.encode()
        if path == "/txn":
            return self.transaction(json.loads(body), node)
        if path == "/leases":
            ttl = json.loads(body)["ttl_ms"] / 1e3
            self.next_permit += 1
            self.permits[self.next_permit] = [ttl, now() + ttl, set()]
            return 200, {"permit": self.next_permit}
        if path.startswith("/leases/"):
            parts = path.split("/")
            permit = int(parts[2])
            if permit not in self.permits:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_permit(permit)
            else:
                self.permits[permit][1] = now() + self.permits[permit][0]
            return 200, {}
        return 400, {"error": "malformed"}

    def transaction(self, request, node):
        guards, changes = request.get("guards", []), request.get("then", [])
        limits = self.site["state"]
        if len(changes) > limits["txn_ops"] or len(guards) > 4 * limits["txn_ops"]:
            return 400, {"error": "too large"}
        for change in changes:
            if "write" in change:
                if len(DUMPS(change["data"])) > limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                permit = change.get("permit")
                if permit is not None and permit not in self.permits:
                    return 400, {"error": "no such lease"}
        if changes and not self.changes.take(len(changes)):
            return 429, {"error": "too many"}
        failed = [
            g["k"] for g in guards
            if (self.values[g["k"]][1] if g["k"] in self.values else 0) != g["stamp"]
        ]
        names = [c.get("write") or "-" + c["delete"] for c in changes]
        if failed:
            self.record("state", f"{node} txn {names} failed {failed}")
            return 409, {"failed": failed, "generation": self.generation}
        if changes:
            self.apply(changes)
            self.record("state", f"{node} txn {names} at {self.generation}")
        return 200, {"generation": self.generation}

    def listing(self, arguments):
        prefix, after = arguments.get("prefix", ""), arguments.get("after", "")
        most = min(int(arguments.get("page", "1000")), 1000)
        index = bisect.bisect_right(self.keys, after) if after else bisect.bisect_left(self.keys, prefix)
        pairs, size = [], 0
        while index < len(self.keys) and self.keys[index].startswith(prefix):
            key = self.keys[index]
            encoded, stamp, permit = self.values[key]
            pair = f'{{"k":"{key}","data":{encoded},"stamp":{stamp}}}'
            size += len(pair) + 1
            if pairs and (len(pairs) >= most or size > 500 * 1024):
                break
            pairs.append(pair)
            index += 1
        more = index < len(self.keys) and self.keys[index].startswith(prefix)
        return 200, (
            f'{{"pairs":[{",".join(pairs)}],"more":{"true" if more else "false"},'
            f'"generation":{self.generation}}}'
        ).encode()

    async def watch(self, arguments):
        prefix, after = arguments.get("prefix", ""), int(arguments["after"])
        deadline = now() + int(arguments.get("block_ms", "0")) / 1e3
        while True:
            if self.log_revisions and after + 1 < self.log_revisions[0]:
                return 410, {"error": "too old"}
            first = bisect.bisect_right(self.log_revisions, after)
            if len(self.log_revisions) - first > 10_000:
                return 410, {"error": "too old"}
            events = [e for k, e in self.log_events[first:] if k.startswith(prefix)]
            left = deadline - now()
            if events or left <= 0:
                return 200, f'{{"generation":{self.generation},"news":[{",".join(events)}]}}'.encode()
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud and workers


class Cloud:
    """The cloud: a fixed number of ordinary machines for each zone, and no spot machines."""

    def __init__(self, site, record, pool, boot_s=1.5, first_number=1):
        self.site, self.record = site, record
        self.pool = dict(pool)  # zone -> machines that it has
        self.boot_s = boot_s
        self.machines = {}  # name -> dict
        self.done = {}  # rental -> names
        self.number = first_number
        self.requests = Bucket(site["cloud"]["rps"], burst_s=2.0)
        self.fleet = None

    async def start(self):
        self.server, self.port = await serve_http(self.handle)

    def rent(self, zone, spot):
        used = sum(1 for m in self.machines.values() if m["hall"] == zone and not m["gone"])
        if spot or used >= self.pool.get(zone, 0):
            return None
        name = f"n-{self.number:06d}"
        self.number += 1
        self.machines[name] = {
            "uid": name, "address": None, "hosttype": self.site["type"]["name"], "hall": zone,
            "reclaimable": spot, "phase": "booting", "at": now(), "gone": False,
        }
        asyncio.ensure_future(self.boot(name, self.boot_s))
        return name

    async def boot(self, name, after):
        await asyncio.sleep(after)
        machine = self.machines[name]
        if machine["gone"]:
            return
        machine["phase"] = "running"
        machine["address"] = await self.fleet.add(name, machine)

    async def handle(self, method, path, query, body):
        if not self.requests.take():
            return 429, {"error": "too many"}
        if path == "/machine_types":
            return 200, {"hosttypes": [dict(self.site["type"], halls=sorted(self.pool))]}
        if path == "/rentals" and method == "POST":
            request = json.loads(body)
            if request["rental"] in self.done:
                return 200, {"hosts": self.done[request["rental"]]}
            names = []
            for _ in range(min(request["how_many"], 50)):
                name = self.rent(request["hall"], request["reclaimable"])
                if name is None:
                    break
                names.append(name)
            self.record("cloud", f"rental {request['rental']} {request['hall']} x{request['how_many']}: {names}")
            if not names:
                return 503, {"error": "no capacity"}
            self.done[request["rental"]] = names
            return 200, {"hosts": names}
        if path == "/rentals/release":
            names = json.loads(body)["hosts"]
            self.record("cloud", f"release {names}")
            for name in names:
                if name in self.machines:
                    self.machines[name]["gone"] = True
                    self.fleet.stop(name, "released")
            return 200, {}
        if path == "/rentals":
            arguments = dict(urllib.parse.parse_qsl(query))
            after, most = arguments.get("after", ""), int(arguments.get("page", "500"))
            then = now() - self.site["cloud"]["list_lag_s"]
            hosts = []
            for name in sorted(self.machines):
                m = self.machines[name]
                if name <= after or m["at"] > then or m["gone"]:
                    continue
                hosts.append({k: m[k] for k in ("uid", "address", "hosttype", "hall", "reclaimable", "phase")}
                             | {"held_s": max(0.0, then - m["at"])})
            return 200, {"hosts": hosts[:most], "more": len(hosts) > most}
        return 400, {"error": "malformed"}


class Worker:
    """A worker: reports to one controller and runs tasks."""

    def __init__(self, fleet, name, machine):
        self.fleet, self.name, self.machine = fleet, name, machine
        self.site, self.record = fleet.site, fleet.record
        self.tenure, self.counter, self.epoch = 1, 0, 0
        self.tasks = {}  # (shard, try) -> dict
        self.images = set()
        self.dirty = asyncio.Event()
        self.node = fleet.nodes[hash(name) % len(fleet.nodes)]
        self.answered = now()
        self.dead = False
        self.fails_starts = False
        self.jobs = []

    async def start(self):
        self.server, self.port = await serve_http(self.handle)
        self.address = f"127.0.0.1:{self.port}"
        self.jobs.append(asyncio.ensure_future(self.report_loop()))
        self.jobs.append(asyncio.ensure_future(self.lease_loop()))

    def stop(self):
        self.dead = True
        for shard, number in list(self.tasks):
            self.leave(shard, number, "machine gone")
        self.tasks.clear()
        self.server.close()
        for job in self.jobs:
            job.cancel()

    def report(self):
        self.counter += 1
        shards = []
        for (shard, number), task in self.tasks.items():
            entry = {"shard": shard, "try": number, "phase": task["phase"]}
            if task["phase"] == "exited":
                entry["cause"] = task["cause"]
                if task.get("kept"):
                    entry["kept"] = True
            shards.append(entry)
        return {
            "host": self.name, "address": self.address, "hosttype": self.machine["hosttype"],
            "hall": self.machine["hall"], "reclaimable": self.machine["reclaimable"],
            "tenure": self.tenure, "counter": self.counter, "epoch": self.epoch, "warning_s": None,
            "shards": shards,
        }

    async def report_loop(self):
        report_s, lease_s = self.site["workers"]["report_s"], self.site["workers"]["lease_s"]
        await asyncio.sleep(random.random() * 0.3)
        raised_at = -1e9
        while not self.dead:
            self.dirty.clear()
            sent, tenure, node = now(), self.tenure, self.node
            delay = None
            try:
                status, body, _ = await call(self.fleet.ports[node], "POST", "/hello", self.report(), 4.0)
            except (OSError, asyncio.TimeoutError, ValueError):
                status, body = 0, b""
            if status == 200 and tenure == self.tenure:
                answer = json.loads(body)
                token = answer.get("epoch", -1)
                if token >= self.epoch:
                    if token > self.epoch and now() - raised_at > lease_s / 2:
                        raised_at = now()
                        self.dirty.set()
                    self.epoch = token
                    self.answered = max(self.answered, sent)
                    self.execute(answer.get("orders", []), f"answer of {node}")
            elif status == 421:
                target = json.loads(body or b"{}").get("reports_to")
                if target in self.fleet.ports and target != node:
                    self.node, delay = target, random.random() * 0.5
                else:
                    self.node, delay = self.next_node(node), 1.0
            elif status != 200:
                self.node, delay = self.next_node(node), 1.0
            if delay is not None:
                await asyncio.sleep(delay)
                continue
            pause = report_s * random.uniform(0.75, 1.25)
            await asyncio.sleep(0.5)
            try:
                await asyncio.wait_for(self.dirty.wait(), max(0.01, sent + pause - now()))
            except asyncio.TimeoutError:
                pass

    def next_node(self, node):
        nodes = self.fleet.nodes
        return nodes[(nodes.index(node) + 1) % len(nodes)]

    async def lease_loop(self):
        while not self.dead:
            await asyncio.sleep(0.05)
            if now() - self.answered > self.site["workers"]["lease_s"]:
                if self.tasks:
                    self.record("worker", f"{self.name} lease ended, session {self.tenure + 1}")
                for shard, number in list(self.tasks):
                    self.leave(shard, number, "lease ended")
                self.tasks.clear()
                self.tenure += 1
                self.answered = now()
                self.dirty.set()

    async def handle(self, method, path, query, body):
        if self.dead:
            raise Dropped()
        if path == "/inspect":
            return 200, self.report()
        if path == "/do":
            request = json.loads(body)
            if "epoch" not in request or "tenure" not in request:
                return 400, {"error": "missing"}
            if request["epoch"] < self.epoch or request["tenure"] != self.tenure:
                return 409, self.report()
            if request["epoch"] > self.epoch:
                self.epoch = request["epoch"]
                self.dirty.set()
            self.execute(request["orders"], "/do")
            return 200, self.report()
        return 400, {"error": "malformed"}

    def execute(self, orders, source):
        for order in orders:
            self.record("order", f"{self.name} {order} by {source}")
            getattr(self, "order_" + order["verb"])(order)
        if orders:
            self.dirty.set()

    def order_run(self, order):
        shard, number = order["shard"], order["try"]
        if (shard, number) in self.tasks:
            return
        task = {"phase": "pulling"}
        self.tasks[(shard, number)] = task
        job, index = shard.rsplit("/", 1)
        request = self.fleet.requests.get(job)
        if request is None or int(index) >= request["shards"]:
            return self.exit(shard, number, "no_such")
        if any(s == shard and n != number for s, n in self.tasks):
            return self.exit(shard, number, "busy")
        for amount in ("vcpus", "accelerators", "memory_gb"):
            used = sum(t.get(amount, 0) for t in self.tasks.values() if t["phase"] != "exited")
            if used + request[amount] > self.site["type"][amount] + 1e-9:
                return self.exit(shard, number, "no_room")
            task[amount] = 0
        for amount in ("vcpus", "accelerators", "memory_gb"):
            task[amount] = request[amount]
        task["runner"] = asyncio.ensure_future(self.run(shard, number, request, task))

    async def run(self, shard, number, request, task):
        if request["bundle"] not in self.images:
            await asyncio.sleep(request["size_gb"] / self.site["type"]["pull_gb_per_s"])
            self.images.add(request["bundle"])
        self.fleet.enter(self, shard, number)
        task["phase"] = "running"
        self.dirty.set()
        self.record("task", f"{shard} try {number} starts on {self.name}")
        if shard in self.fleet.results:
            return self.exit(shard, number, "done")
        if self.fails_starts:
            await asyncio.sleep(0.3)
            return self.exit(shard, number, "error")
        if request["shape"] == "daemon":
            return
        await asyncio.sleep(self.fleet.run_s.get(request["uid"], request["expected_s"]))
        self.fleet.results.add(shard)
        self.exit(shard, number, "done")

    def exit(self, shard, number, cause, kept=False):
        task = self.tasks.get((shard, number))
        if task is None or task["phase"] == "exited":
            return
        runner = task.get("runner")
        if runner is not None and runner is not asyncio.current_task():
            runner.cancel()
        if task["phase"] != "pulling":
            self.fleet.left(self, shard, number, cause)
        task.update(phase="exited", cause=cause, kept=kept)
        self.record("task", f"{shard} try {number} exits {cause} on {self.name}")
        self.dirty.set()

    def leave(self, shard, number, why):
        """The task is killed and forgotten."""
        task = self.tasks[(shard, number)]
        if task.get("runner"):
            task["runner"].cancel()
        if task["phase"] not in ("pulling", "exited"):
            self.fleet.left(self, shard, number, why)

    def order_halt(self, order):
        shard, number = order["shard"], order["try"]
        task = self.tasks.get((shard, number))
        if task is None or task["phase"] == "exited":
            return
        request = self.fleet.requests[shard.rsplit("/", 1)[0]]
        wind_down = order.get("wind_down_s") or 0.0
        saves = request["snapshot_every_s"] > 0 and wind_down >= request["snapshot_s"]
        if task["phase"] == "flushing" and wind_down > 0:
            return
        if task["phase"] == "running" and saves:
            task["runner"].cancel()
            task["phase"] = "flushing"
            task["runner"] = asyncio.ensure_future(self.save(shard, number, request["snapshot_s"]))
            return
        self.exit(shard, number, "halted")

    async def save(self, shard, number, snapshot_s):
        await asyncio.sleep(snapshot_s)
        self.exit(shard, number, "halted", kept=True)

    def order_clear(self, order):
        task = self.tasks.get((order["shard"], order["try"]))
        if task is not None and task["phase"] == "exited":
            del self.tasks[(order["shard"], order["try"])]


class Fleet:
    """All workers, and what their tasks do: `on` holds (shard, worker) of the tasks on machines."""

    def __init__(self, site, record, nodes, ports):
        self.site, self.record, self.nodes, self.ports = site, record, nodes, ports
        self.workers = {}
        self.requests = {}  # job id -> submission, which users upload
        self.run_s = {}
        self.results = set()
        self.on = {}  # (shard, worker name) -> try
        self.starts = []  # (time, shard, worker name)
        self.twice = []

    async def add(self, name, machine):
        worker = Worker(self, name, machine)
        self.workers[name] = worker
        await worker.start()
        self.record("worker", f"{name} in {machine['hall']} is up at {worker.address}")
        return worker.address

    def stop(self, name, why):
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.record("worker", f"{name} stops: {why}")
            worker.stop()

    def enter(self, worker, shard, number):
        others = [w for s, w in self.on if s == shard and w != worker.name]
        if others:
            self.twice.append((shard, worker.name, others))
            self.record("RULE", f"ran_twice {shard} starts on {worker.name} while on {others}")
        self.on[(shard, worker.name)] = number
        self.starts.append((now(), shard, worker.name))

    def left(self, worker, shard, number, why):
        self.on.pop((shard, worker.name), None)
        self.record("task", f"{shard} try {number} leaves {worker.name}: {why}")

    def free(self, worker):
        used = {a: 0.0 for a in ("vcpus", "accelerators", "memory_gb")}
        for task in worker.tasks.values():
            if task["phase"] != "exited":
                for amount in used:
                    used[amount] += task.get(amount, 0)
        return {a: self.site["type"][a] - used[a] for a in used}


# ---------------------------------------------------------------- platform


def run_command():
    """Returns the command of the deploy file, without the settings file."""
    with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
        for line in file:
            if line.startswith("run"):
                return line.split("=", 1)[1].strip().strip('"').split()
    raise SystemExit(2)


class Platform:
    """Starts, kills and restarts the controllers. Ends every process that it has started."""

    def __init__(self, site, record, state, cloud_port):
        self.site, self.record = site, record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes = [n for n, _ in site["nodes"]]
        self.zones = dict(site["nodes"])
        self.ports = {n: free_port() for n in self.nodes}
        self.mesh = {n: free_port() for n in self.nodes}
        self.state, self.cloud_port = state, cloud_port
        self.processes = {}
        self.wanted = set()

    def settings(self, node):
        site = self.site
        lines = [
            f'member = "{node}"', f'site = "{self.zones[node]}"',
            f'bind = "127.0.0.1:{self.ports[node]}"', f'mesh_addr = "127.0.0.1:{self.mesh[node]}"',
        ]
        for other in self.nodes:
            if other != node:
                lines += ["[[others]]", f'member = "{other}"', f'site = "{self.zones[other]}"',
                          f'endpoint = "127.0.0.1:{self.mesh[other]}"']
        lines += ["[services]", f'cloud = "127.0.0.1:{self.cloud_port}"',
                  f'state = "127.0.0.1:{self.state.ports[node]}"', "[params]",
                  f"size = {len(self.nodes)}", f"zones = {json.dumps(site['zones'])}", "time_bound_ms = 100.0"]
        for team in site["teams"]:
            lines += ["[[params.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in team.items()]
        for objective in site["objectives"]:
            lines += ["[[params.objectives]]"] + [f"{k} = {json.dumps(v)}" for k, v in objective.items()]
        for table in ("workers", "state", "cloud", "quota"):
            lines += [f"[params.{table}]"] + [f"{k} = {json.dumps(v)}" for k, v in site[table].items()]
        return "\n".join(lines) + "\n"

    def start(self, node):
        path = os.path.join(self.folder, node + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(node))
        log = open(os.path.join(self.folder, node + ".log"), "ab")
        self.processes[node] = subprocess.Popen(
            run_command() + [path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env=dict(os.environ, LOG_LEVEL=os.environ.get("CASE_LOG", "info")),
        )
        log.close()
        self.record("platform", f"{node} started, process {self.processes[node].pid}")

    def kill(self, node, why):
        process = self.processes.get(node)
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()
            self.record("platform", f"{node} killed: {why}")

    def signal(self, node, number):
        self.processes[node].send_signal(number)
        self.record("platform", f"{node} gets signal {signal.Signals(number).name}")

    def held_mb(self, node):
        """Memory that a process holds (RssAnon, without the program's own file), in MB."""
        try:
            with open(f"/proc/{self.processes[node].pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def close(self):
        for node in self.processes:
            self.kill(node, "the case ends")
        if os.environ.get("CASE_KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Users:
    """Users behind a load balancer that probes every node once a second."""

    def __init__(self, platform, fleet, record):
        self.platform, self.fleet, self.record = platform, fleet, record
        self.healthy = {n: False for n in platform.nodes}
        self.turn = 0

    async def balancer(self):
        async def probe(node):
            results, ever, removed = [], False, -1e9
            while True:
                begun = now()
                try:
                    status, _, _ = await call(self.platform.ports[node], "GET", "/ready", timeout=1.0)
                except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                    status = 0
                results = (results + [status == 200])[-6:]
                if self.healthy[node]:
                    if results[-2:] == [False, False] or results.count(False) >= 3:
                        self.healthy[node], removed, results = False, now(), []
                        self.record("balancer", f"{node} unhealthy")
                elif status == 200 and (not ever or (results[-2:] == [True, True] and now() - removed > 3)):
                    self.healthy[node], ever = True, True
                    self.record("balancer", f"{node} healthy")
                await asyncio.sleep(max(0.05, begun + 1.0 - now()))

        await asyncio.gather(*(probe(n) for n in self.platform.nodes))

    def order(self):
        nodes = [n for n in self.platform.nodes if self.healthy[n]]
        self.turn += 1
        return nodes[self.turn % len(nodes):] + nodes[: self.turn % len(nodes)] if nodes else []

    async def ask(self, method, path, body, timeout, node=None):
        """One request through the balancer (or to one node): (status, answer, node); status 0: none."""
        for target in [node] if node else self.order():
            try:
                status, answer, headers = await call(self.platform.ports[target], method, path, body, timeout)
            except ConnectionRefusedError:
                continue
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                return 0, {}, target
            try:
                answer = json.loads(answer or b"{}")
            except ValueError:
                answer = {}
            answer["_retry_after"] = float(headers.get("retry-after", "0"))
            return status, answer, target
        return 0, {}, None

    async def insist(self, method, path, body, final, what):
        """Repeats a request as users do, for up to 60 s."""
        begun = now()
        while True:
            status, answer, node = await self.ask(method, path, body, 5.0)
            self.record("user", f"{what}: {status} {answer} by {node}")
            if status in final or now() - begun > 60:
                return status, answer
            await asyncio.sleep(max(1.0, min(answer.get("_retry_after", 0), 30)))

    async def submit(self, request, run_s=None):
        self.fleet.requests[request["uid"]] = request
        if run_s is not None:
            self.fleet.run_s[request["uid"]] = run_s
        return await self.insist("POST", "/v1/jobs", request, (200, 201, 400, 422), "submit " + request["uid"])

    async def cancel(self, uid):
        return await self.insist("POST", f"/v1/jobs/{uid}/abort", None, (200, 404), "abort " + uid)

    async def poll(self, uid, node=None):
        status, answer, by = await self.ask("GET", f"/v1/jobs/{uid}", None, 2.0, node)
        self.record("poll", f"{uid}: {status} {answer} by {by}")
        return status, answer

    async def until(self, uid, phases, timeout):
        end = now() + timeout
        while now() < end:
            status, answer = await self.poll(uid)
            if status == 200 and answer.get("phase") in phases:
                return True
            await asyncio.sleep(0.5)
        return False


def job(uid, team, **fields):
    """A submission with the fields of the protocol page."""
    request = {
        "uid": uid, "jobclass": "backfill", "tenant": team, "shape": "array", "urgency": "idle",
        "shards": 1, "vcpus": 5.0, "accelerators": 1.0, "memory_gb": 38.0, "bundle": "img-01",
        "size_gb": 0.5, "hosttypes": None, "hall": None, "together": False, "apart": False,
        "reclaimable": False, "expected_s": 3.0, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": None,
    }
    request.update(fields)
    return request


def shegerair():
    """The settings of the deployment `shegerair-platform` (its site file and the brief)."""
    return {
        "nodes": [("worker-0", "bole"), ("worker-1", "kality"), ("worker-2", "bole")],
        "zones": ["bole", "kality"],
        "teams": [
            {"name": f"platformops-{i:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 18.0}
            for i in range(8)
        ],
        "objectives": [
            {"kind": "wait", "class": "aqindex", "within_s": 5.0, "share": 0.85},
            {"kind": "deadline", "class": "backfill", "share": 0.85, "times": 1.0},
            {"kind": "wait", "class": "dustfit", "within_s": 15.0, "share": 0.8},
        ],
        "workers": {"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 46.0},
        "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 48},
        "cloud": {"rps": 4.0, "list_lag_s": 3.0},
        "quota": {"cpu": 0.16, "memory_mb": 104.0, "max_connections": 1800},
        "type": {
            "name": "entoto", "vcpus": 16, "accelerators": 2, "memory_gb": 128, "local_gb": 200,
            "pull_gb_per_s": 1.0, "hourly": 4.57, "spot_price": 1.89, "ready_s": 25,
        },
    }


def laudmang():
    """The settings of the deployment `laudmang-compute` (its site file and the brief)."""
    return {
        "nodes": [("worker-0", "ulemiste"), ("worker-1", "kopli"), ("worker-2", "raadi")],
        "zones": ["kopli", "raadi", "ulemiste"],
        "teams": [
            {"name": f"engineroom-{i:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 40.0, "gpus_max": 104.0}
            for i in range(8)
        ],
        "objectives": [
            {"kind": "wait", "class": "liveeval", "within_s": 2.0, "share": 0.88},
            {"kind": "deadline", "class": "postmortem", "share": 0.97, "times": 1.0},
            {"kind": "wait", "class": "nettrain", "within_s": 15.0, "share": 0.85},
        ],
        "workers": {"report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 55.0},
        "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 32},
        "cloud": {"rps": 3.0, "list_lag_s": 12.0},
        "quota": {"cpu": 0.24, "memory_mb": 200.0, "max_connections": 3500},
        "type": {
            "name": "toompea", "vcpus": 96, "accelerators": 8, "memory_gb": 768, "local_gb": 400,
            "pull_gb_per_s": 1.0, "hourly": 20.29, "spot_price": 8.36, "ready_s": 35,
        },
    }


class Case:
    """One run of a case: all stand-ins together."""

    def __init__(self, folder, site, pool, boot_s=1.5):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.site = site
        self.record = Record(os.path.join(folder, "record.txt"))
        self.record("case", f"trouble {'on' if self.trouble else 'off'}")
        self.state = State(site, self.record)
        self.cloud = Cloud(site, self.record, pool, boot_s)

    async def start(self):
        nodes = [n for n, _ in self.site["nodes"]]
        await self.state.start(nodes)
        await self.cloud.start()
        self.platform = Platform(self.site, self.record, self.state, self.cloud.port)
        self.fleet = Fleet(self.site, self.record, nodes, self.platform.ports)
        self.cloud.fleet = self.fleet
        self.users = Users(self.platform, self.fleet, self.record)
        for node in nodes:
            self.platform.start(node)
        self.tasks = [asyncio.ensure_future(self.users.balancer())]
        for _ in range(150):
            if all(self.users.healthy.values()):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the controllers did not become ready")


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def main(folder, site, pool, play, boot_s=1.5, limit_s=117.0):
    """Runs `play(case)`, which returns None if the rule held, else what broke it."""
    if not os.path.exists(os.path.join(ROOT, run_command()[0])):
        print("build the program first")
        sys.exit(2)

    async def run():
        case = Case(folder, site, pool, boot_s)

        async def start_and_play():
            await case.start()
            return await play(case)

        try:
            broken = await asyncio.wait_for(start_and_play(), limit_s)
            case.record("case", f"broken: {broken}" if broken else "the rule held")
            print(f"broken: {broken}" if broken else "the rule held")
            return 1 if broken else 0
        except Exception as error:  # whatever goes wrong here is no verdict on the rule
            case.record("case", f"could not run: {error!r}")
            print("could not run:", repr(error))
            return 2
        finally:
            if hasattr(case, "platform"):
                case.platform.close()

    def leave(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, leave)
    begun = time.time()
    try:
        code = asyncio.run(run())
    except KeyboardInterrupt:
        code = 2
    print(f"exit {code} after {time.time() - begun:.0f} s")
    sys.stdout.flush()
    os._exit(code)
