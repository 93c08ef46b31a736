"""Stand-ins for the outside of a small deployment: store, workers, clients; and the processes of
the deploy file. Everything is on loopback addresses. One address a machine, as ports are the same
on all machines. Behaves as PROTOCOL.md and DEPLOY.md say; see each class."""
import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what happened, with seconds from the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():9.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def response(status, body=b"", close=False):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + body


class HttpStandIn:
    """HTTP/1.1 server; `handle` returns (status, body)."""

    async def listen(self, host, port):
        self.channels = set()
        self.server = await asyncio.start_server(self.serve, host, port)

    def cut_off(self):
        """Ends as a process does that is killed: no listener, all channels reset."""
        self.server.close()
        for writer in self.channels:
            try:
                writer.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                continue  # closed already
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, body = await self.handle(*request)
                writer.write(response(status, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()


def query_of(target):
    from urllib.parse import parse_qs, urlsplit
    parts = urlsplit(target)
    return parts.path, {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}


class Store:
    """The platform's store. Each machine reaches it at an address of its own, so that it can turn
    one of them away: `turned_away` holds those answered with 503 ("nothing was done"), `cut` those
    behind a silent partition, whose bytes wait until it heals."""

    def __init__(self):
        self.rows, self.ver, self.turned_away, self.cut = {}, 1, set(), set()
        self.changed = asyncio.Event()

    async def door(self, host, port):
        class Door(HttpStandIn):
            async def handle(door, method, target, headers, body):
                await self.healed(host)
                answer = await self.handle(host, method, target, body)
                await self.healed(host)
                return answer
        door = Door()
        await door.listen(host, port)

    async def healed(self, host):
        while host in self.cut:
            await asyncio.sleep(0.02)

    def put(self, table, key, value):
        self.ver += 1
        self.rows[(table, key)] = (base64.b64encode(value.encode()).decode(), self.ver)
        self.wake()

    def wake(self):
        old, self.changed = self.changed, asyncio.Event()
        old.set()

    def row(self, table, key):
        value, ver = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def answer(self, rows):
        return 200, {"rows": rows, "more_pages": False, "ver": self.ver,
                     "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, host, method, target, body):
        if host in self.turned_away:
            return 503, {}
        path, query = query_of(target)
        if path == "/api/rows-get":
            return self.answer([self.row(t, k) for t, k in sorted(self.rows) if t == query["table"]])
        if path == "/api/rows-feed":
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                after = int(query["after"])
                rows = [self.row(t, k) for (t, k), (_, v) in sorted(self.rows.items(), key=lambda i: i[1][1])
                        if t == query["table"] and v > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return (503, {}) if host in self.turned_away else self.answer(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/rows-tx" and method == "POST":
            call = json.loads(body)
            for row in call["expect"]:
                at = self.rows.get((row["table"], row["key"]), ("", 0))[1]
                if at != row["ver"]:
                    return 412, {"rows": []}
            self.ver += 1
            for row in call["writes"]:
                self.rows[(row["table"], row["key"])] = (row["value"], self.ver)
            self.wake()
            return 200, {"ver": self.ver, "now_ms": 0}
        return 404, {}


class Worker(HttpStandIn):
    """A worker: one lease for all runs, capacity guarded, ends listed until seen_upto."""

    def __init__(self, record, name, service, host, app_port, control_port, cpu=16000, mem_mb=32768,
                 zone="sahab", run_ms=None):
        self.record, self.name, self.service, self.host = record, name, service, host
        self.app_port, self.control_port, self.cpu, self.mem = app_port, control_port, cpu, mem_mb
        self.zone = zone
        self.run_ms = run_ms or (lambda spec: 50)
        self.id = f"i-{name}"
        self.starts = []  # [time, task, run, spec, end time or None, how it ended]
        self.on_start = None  # called with each task begun; crashes the worker if it returns True
        self.begin_life()

    def begin_life(self):
        """It holds and knows nothing of before, and its counts start anew."""
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.running, self.ended, self.stopped = {}, [], {}
        self.fence = self.count = self.seq = self.lease = 0
        self.state = "ready"
        self.changed = asyncio.Event()

    async def crash(self, down_s, first_beat_s):
        """Crashes, and starts again under its id, with its first report some time later."""
        self.cut_off()
        self.beating.cancel()
        for key in list(self.running):
            entry = self.running.pop(key)
            entry["timer"].cancel()
            entry["log"][4:] = [self.record.now(), "crashed"]
        self.record(f"worker {self.name} ({self.service}) crashed")
        await asyncio.sleep(down_s)
        self.begin_life()
        await self.listen(self.host, self.app_port)
        self.record(f"worker {self.name} ({self.service}) started again, id {self.id}, born {self.born}")
        self.beating = asyncio.create_task(self.beats(first_beat_s))

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        await self.listen(self.host, self.app_port)
        self.beating = asyncio.create_task(self.beats())
        asyncio.create_task(self.ticks())

    async def beats(self, first_s=0.0):
        await asyncio.sleep(first_s)
        while True:
            self.seq += 1
            body = {"service": self.service, "addr": f"{self.host}:{self.app_port}", "zone": self.zone,
                    "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0}, "labels": ["a", "r1-1"],
                    "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
            ok = False
            try:
                status, _ = await call(self.host, self.control_port, "POST",
                                       f"/api/Instances.Heartbeat/{self.id}", body, timeout=1)
                ok = status == 200
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(1.5 if ok else 0.3)

    async def ticks(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() > self.lease:
                for key in list(self.running):
                    self.finish(key, "lapsed")

    def finish(self, key, how):
        entry = self.running.pop(key, None)
        if entry is None:
            return
        entry["timer"].cancel()
        self.stopped[key[0]] = max(self.stopped.get(key[0], 0), key[1])
        self.count += 1
        self.ended.append([self.count, key[0], key[1], how, ""])
        entry["log"][4] = self.record.now()
        entry["log"][5] = how
        self.record(f"worker {self.name} ({self.service}) end {key[0]} run {key[1]} {how}")
        old, self.changed = self.changed, asyncio.Event()
        old.set()

    def extend(self, deadline):
        if deadline:
            self.lease = max(self.lease, min(deadline, self.clock() + 1000))

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        path, _ = query_of(target)
        call_ = json.loads(body)
        reply = {"clock_ms": self.clock(), "born": self.born}
        fence = call_.get("fence", 0)
        if fence < self.fence:
            return 409, {**reply, "reason": "fence"}
        self.fence = fence
        if path == "/api/hold":
            self.extend(call_.get("deadline_ms"))
            self.ended = [e for e in self.ended if e[0] > call_.get("seen_upto", 0)]
            if not self.ended and call_.get("wait_ms"):
                try:
                    await asyncio.wait_for(self.changed.wait(), call_["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, {"clock_ms": self.clock(), "born": self.born,
                         "running": [[k[0], k[1], "", 100, 0] for k in self.running],
                         "ended": self.ended[:500]}
        key = (call_["task"], call_["run"])
        if path == "/api/run-stop":
            if key in self.running:
                asyncio.get_running_loop().call_later(0.02, self.finish, key, "stopped")
            self.stopped[key[0]] = max(self.stopped.get(key[0], 0), key[1])
            return 200, reply
        if path == "/api/run-start":
            if key in self.running:
                return 200, reply
            self.extend(call_["deadline_ms"])
            if key[1] <= self.stopped.get(key[0], 0):
                return 409, {**reply, "reason": "old"}
            if call_["deadline_ms"] <= self.clock():
                return 409, {**reply, "reason": "late"}
            ask = self.ask(call_["spec"])
            used = sum(r["cpu"] for r in self.running.values())
            if used + ask > self.cpu:
                return 409, {**reply, "reason": "room"}
            log = [self.record.now(), key[0], key[1], call_["spec"], None, None]
            self.starts.append(log)
            self.record(f"worker {self.name} ({self.service}) start {key[0]} run {key[1]}")
            timer = asyncio.get_running_loop().call_later(
                self.run_ms(call_["spec"]) / 1000, self.finish, key, "done")
            self.running[key] = {"cpu": ask, "timer": timer, "log": log}
            if self.on_start and self.on_start(key[0]):
                asyncio.create_task(self.crash(*self.crash_times))
                await asyncio.sleep(3600)
            return 200, reply
        return 404, {}

    def ask(self, spec):
        return 1000


async def call(host, port, method, target, body=None, headers=None, timeout=5.0, source=None):
    """One request on a channel of its own. Returns (status, body) or raises."""
    async def run():
        reader, writer = await asyncio.open_connection(
            host, port, local_addr=(source, 0) if source else None)
        try:
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            head = f"{method} {target} HTTP/1.1\r\n"
            given = {"Host": f"{host}:{port}", "Content-Type": "application/json",
                     "Content-Length": str(len(data)), **(headers or {})}
            head += "".join(f"{k}: {v}\r\n" for k, v in given.items())
            writer.write(head.encode() + b"\r\n" + data)
            line = await reader.readline()
            if not line:
                raise ConnectionResetError("no answer")
            status = int(line.split()[1])
            length = 0
            while True:
                line = await reader.readline()
                if line in (b"\r\n", b""):
                    break
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            return status, await reader.readexactly(length)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


def new_id():
    return f"{random.getrandbits(64):016x}"


class Process:
    """A process of the deploy file, with its settings filled in from the template's fields."""

    def __init__(self, fleet, role, name, host, settings):
        self.fleet, self.role, self.name, self.host = fleet, role, name, host
        self.path = os.path.join(fleet.folder, name + ".json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        program = os.path.join(ROOT, "target", f"quetzalvale-platform-{self.role}")
        with open(os.path.join(self.fleet.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([program, f"--settings={self.path}"], cwd=ROOT,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.fleet.record(f"process {self.name} started")

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory."""
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize() / (1 << 20)


class Fleet:
    """A small deployment. Ports are the same on all machines, each machine has its own address."""

    def __init__(self, folder, zones=("sahab", "marka")):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes, self.workers = [], []
        self.store = Store()
        self.zones = zones
        self.hosts = iter(f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.{i}" for i in range(1, 250))
        self.base = self.free_ports()
        self.entries = []

    def free_ports(self):
        for _ in range(200):
            base = random.randint(20000, 31000)
            try:
                for port in range(base, base + 20):
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
                return base
            except OSError:
                continue
        raise RuntimeError("no free ports")

    # base: front, +1 ready, +2 control, +3 app, +4 store, +10..+19 between the processes
    def settings(self, name, host, zone):
        return {"name": name, "data_centre": zone, "inner_host": host,
                "inner_ports": [self.base + 10, self.base + 19],
                "store_address": f"{host}:{self.base + 4}", "longest_lease_ms": 1000,
                "stop_grace_s": 6, "log_level": "info"}

    async def machine(self):
        host = next(self.hosts)
        await self.store.door(host, self.base + 4)
        return host

    async def add_entry(self, name, zone, share=0.25):
        host = await self.machine()
        settings = self.settings(name, host, zone)
        settings.update(processor_share=share, processor_speed=1, remote_data_factor=1.5,
                        ready_address=f"{host}:{self.base + 1}", caller_address=f"{host}:{self.base}")
        process = Process(self, "entry", name, host, settings)
        self.processes.append(process)
        self.entries.append(process)
        process.start()
        return process

    async def add_worker(self, name, zone, service, **options):
        host = await self.machine()
        settings = self.settings(name, host, zone)
        settings.update(report_address=f"{host}:{self.base + 2}", worker_address=f"{host}:{self.base + 3}")
        worker = Worker(self.record, name, service, host, self.base + 3, self.base + 2, zone=zone, **options)
        await worker.start()
        process = Process(self, "agent", name, host, settings)
        self.processes.append(process)
        self.workers.append(worker)
        process.start()
        worker.agent = process
        return worker

    def config(self, version, routes, services):
        value = {"version": version,
                 "routes": [{"type": "non_idempotent", "timeout_ms": 1500, "slo_ms": 60, "max_attempts": 2,
                             "stretch": 1.6, "priority": 1, **route} for route in routes],
                 "services": [{"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1",
                               "tls": False, "admission_control": True, "standby": False} for s in services],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.store.put("op", "config", json.dumps(value))
        self.record(f"operator: config {version} confirmed by the store: "
                    + ", ".join(f"{r['host']}{r['prefix']}->{r['service']}" for r in routes))

    async def ready(self, entry):
        try:
            status, _ = await call(entry.host, self.base + 1, "GET", "/api/ready", timeout=1)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all([await self.ready(e) for e in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def post(self, entry, host, prefix, job, deadline_ms=1500, id_=None, timeout=None):
        """Submits a job as a client. Returns (id, status or None, body)."""
        id_ = id_ or new_id()
        try:
            status, body = await call(entry.host, self.base, "POST", prefix + id_, job,
                                      {"Host": host, "X-Deadline-Ms": str(deadline_ms)},
                                      timeout=timeout or deadline_ms / 1000)
            return id_, status, body.decode()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return id_, None, ""

    def stop(self):
        for process in self.processes:
            if process.process and process.process.poll() is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                process.process.wait()


def job(count=1, cpu=1000, est_ms=50, spec="x", mem_mb=64):
    return {"spec": spec, "best_effort": True,
            "steps": [{"count": count, "cpu": cpu, "mem_mb": mem_mb, "est_ms": est_ms}]}


def main(folder, play, limit=110):
    """Runs `play(fleet)`, which returns True if the rule held, False if it was broken and None if
    the case could not run."""
    async def run():
        fleet = Fleet(folder)

        def end():
            fleet.stop()
            os._exit(NOT_RUN)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)
        try:
            held = await asyncio.wait_for(play(fleet), limit)
        except asyncio.TimeoutError:
            held = None
        finally:
            fleet.stop()
        code = NOT_RUN if held is None else HELD if held else BROKEN
        fleet.record(f"verdict: {['the rule held', 'the rule was broken', 'the case could not run'][code]}")
        fleet.record.file.close()
        shutil.rmtree(fleet.folder, ignore_errors=True)
        # Clients and servers that still wait end with this process.
        os._exit(code)
    if not os.path.exists(os.path.join(ROOT, "target", "quetzalvale-platform-entry")):
        sys.exit(NOT_RUN)
    asyncio.run(run())
