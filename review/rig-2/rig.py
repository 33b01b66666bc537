"""Stand-ins for the scripts in review/4 to review/8: the platform's store, an application endpoint, callers, and
the launcher of the instance under test. Python's standard library only; loopback addresses only."""

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Command of deploy/system.toml.
RUN = ["target/release/fescue-instance", "--metrics-port", "9464"]

HOST = "acme.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

# Limits of a machine and of callers, as the installation's sheet and its operator's document state them.
MEMORY_MB = 260
MAX_FDS = 4200
LINK_MBPS = 1000.0
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 4194304
IDLE_TIMEOUT_MS = 15000

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
    "revokeStrict": True, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 198,
    "recoverS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 3000, "requireFence": True, "ttl_max_s": 5,
}


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def line(self, text):
        print(f"{now() - self.start:9.3f} {text}", file=self.file, flush=True)

    def verdict(self, text):
        self.line("verdict: " + text)
        print(text, flush=True)


def free_subnet():
    """A loopback prefix that no other run uses, with high probability."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


class Store:
    """The platform's store: rows, transactions and feeds. Answers after 4 ms."""

    def __init__(self, address):
        self.address = address
        self.tables = {}
        self.ver = 1
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        if not isinstance(value, str):
            value = base64.b64encode(json.dumps(value).encode()).decode()
        self.ver += 1
        self.tables.setdefault(table, {})[key] = (self.ver, value)
        self._notify()

    def remove(self, table, key):
        self.ver += 1
        self.tables.setdefault(table, {})[key] = (self.ver, None)
        self._notify()

    def _notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self._serve, host, port)

    def _reply(self, extra):
        return dict(extra, ver=self.ver, nowMs=int(now() * 1000))

    def _row(self, table, key):
        ver, value = self.tables.get(table, {}).get(key, (0, None))
        row = {"table": table, "part": "", "key": key, "ver": ver if value is not None else 0}
        if value is not None:
            row["value"] = value
        return row

    async def _answer(self, method, path, query, body):
        if path == "/-/rows-get":
            rows = self.tables.get(query["table"], {})
            low, high = query.get("from", ""), query.get("target")
            limit = int(query.get("limit", 500))
            keys = sorted(k for k, (_, v) in rows.items() if v is not None and k >= low and (high is None or k < high))
            return 200, self._reply({"rows": [self._row(query["table"], k) for k in keys[:limit]],
                                     "morePages": len(keys) > limit})
        if path == "/-/rows-feed":
            after, until = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000
            while True:
                rows = self.tables.get(query["table"], {})
                new = sorted((ver, k, v) for k, (ver, v) in rows.items() if ver > after)
                if new or now() >= until:
                    break
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            out = []
            for ver, key, value in new:
                row = {"table": query["table"], "part": "", "key": key, "ver": ver}
                row.update({"value": value} if value is not None else {"removed": True})
                out.append(row)
            return 200, self._reply({"rows": out})
        if path == "/-/rows-tx" and method == "POST":
            call = json.loads(body)
            want = call.get("precondition") or []
            if any(self._row(it["table"], it["key"])["ver"] != it["ver"] for it in want):
                return 412, self._reply({"rows": [self._row(it["table"], it["key"]) for it in want]})
            self.ver += 1
            for it in call.get("puts") or []:
                self.tables.setdefault(it["table"], {})[it["key"]] = (self.ver, it["value"])
            for it in call.get("remove") or []:
                self.tables.setdefault(it["table"], {})[it["key"]] = (self.ver, None)
            self._notify()
            return 200, self._reply({})
        return 404, {}

    async def _serve(self, reader, writer):
        from urllib.parse import parse_qsl
        try:
            while True:
                method, target, _, body = await read_request(reader)
                path, _, query = target.partition("?")
                status, reply = await self._answer(method, path, dict(parse_qsl(query, keep_blank_values=True)), body)
                await asyncio.sleep(0.004)
                data = json.dumps(reply).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return bytes(body)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    return method, target, headers, await read_body(reader, headers)


class Application:
    """An endpoint of a service without layers. `answer(endpoint, id, method, target, headers, body, writer)` sends
    the response and returns whether the channel is kept. Runs are noted in `runs`."""

    def __init__(self, name, address, answer=None):
        self.name, self.address, self.answer = name, address, answer
        self.runs = []

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20, backlog=1024)

    async def _serve(self, reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                if target.startswith("/healthz"):
                    writer.write(f"HTTP/1.1 200 OK\r\nFescueshore-Instance-Id: {self.name}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    await writer.drain()
                    continue
                expected = headers.get("fescueshore-expect-instance")
                if expected not in (None, self.name):
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nFescueshore-Instance-Id: {self.name}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    await writer.drain()
                    continue
                request = headers.get("fescueshore-attempt-id", "")
                self.runs.append((now(), request))
                if not await self.answer(self, request, method, target, headers, body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def response(request, body, status="200 OK"):
    return (f"HTTP/1.1 {status}\r\nFescueshore-Attempt-Id: {request}\r\n"
            f"Fescueshore-Response-Seal: 3e1b.07.5a2.{len(body)}.0.c9f2a4d1\r\n"
            f"Content-Type: application/octet-stream\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 1068, "protocol": "h1", "tls": False}


def route(name, prefix, kind, service, timeout_ms, goal_ms=150, attempts=1, **more):
    return dict({"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
                 "goalMs": goal_ms, "priority": 2, "service": service, "maxAttempts": attempts, "public": False}, **more)


def manifest(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": MAX_BODY_BYTES,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": IDLE_TIMEOUT_MS},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}


def server_row(application, service, zone="lac", seq=1):
    host, port = application.address
    return {"service": service, "addr": f"{host}:{port}", "zone": zone, "version": "v1", "slots": 6,
            "state": "ready", "coldLeftMs": 0, "seq": seq}


class Instance:
    """One process of the deploy file on an address of its own."""

    def __init__(self, name, ip, store, folder, zone="lac", bootstrap=True):
        self.name, self.ip = name, ip
        self.front, self.ready = (ip, 8227), (ip, 8220)
        self.log = os.path.join(folder, name + ".log")
        self.boot = os.path.join(folder, name + ".json")
        zones = {"lac": "tunis", "charguia": "tunis", "marsa": "tunis"}
        settings = {
            "nodeName": name, "role": "instance", "machineClass": "front", "serves": ["front", "directory"],
            "ip": ip, "zone": zone, "region": "tunis", "zones": zones,
            "listen": {"front": f"{ip}:8227", "ready": f"{ip}:8220", "control": f"{ip}:8229", "directory": f"{ip}:8224"},
            "portRange": [7340, 7355], "seeds": [], "bootstrap": bootstrap, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": MAX_FDS, "linkMbps": LINK_MBPS,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform", "layers"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"addr": f"{store.address[0]}:{store.address[1]}", "form": "table", "writesPerS": 400,
                         "readsPerS": 2000, "txMs": 8.0, "appendsPerS": 150, "rowBytes": 65536, "across": False,
                         "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbPerS": 80.0},
        }
        with open(self.boot, "w") as file:
            json.dump(settings, file)

    async def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["FESCUESHORE_BOOT"] = self.boot

        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))

        self.output = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(*RUN, cwd=ROOT, env=env, stdout=self.output,
                                                            stderr=self.output, preexec_fn=limit)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(f"GET /-/ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        end = now() + limit_s
        while not await self.is_ready():
            if now() > end or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def open_files(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def send(self, sig):
        if self.process.returncode is None:
            self.process.send_signal(sig)

    async def stop(self):
        self.send(signal.SIGKILL)
        await self.process.wait()
        self.output.close()


_next_id = random.getrandbits(48) << 16


def new_id():
    global _next_id
    _next_id += 1
    return f"{_next_id & (2 ** 64 - 1):016x}"


def request_head(method, path, request, deadline_ms, length=0, more=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nFescueshore-Attempt-Id: {request}\r\n"
            f"Fescueshore-Deadline-Ms: {deadline_ms}\r\nFescueshore-Credential: {KEY}\r\n{more}"
            f"Content-Length: {length}\r\n\r\n").encode()


async def read_answer(reader):
    """Status, headers and whole body of an answer; raises if it ends early."""
    line, headers = await read_head(reader)
    return int(line.split(" ")[1]), headers, await read_body(reader, headers)


def raise_file_limit():
    """The stand-ins and callers need more descriptors than the usual soft limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def main(folder, case):
    """Runs `case(record, folder)`, which returns True if the rule held. Exit codes: 0 held, 1 broken, 2 not run."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="fescue-review-")
    raise_file_limit()
    code = 2

    async def run():
        # Stand-ins are cancelled in the middle of calls at the end, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record, work), 110)

    try:
        held = asyncio.run(run())
        code = 0 if held else 1
    except BaseException as error:  # noqa: BLE001 - anything else means that the case could not run
        record.verdict(f"the case could not run: {type(error).__name__}: {error}")
    if os.environ.get("KEEP_LOGS"):
        print("logs in", work)
    else:
        shutil.rmtree(work, ignore_errors=True)
    sys.exit(code)
