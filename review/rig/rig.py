"""Stand-ins for the review's scripts: the platform's store, engines, a client, and a starter of instances.

Python's standard library only. The store and the client live in the process of the script. Each engine is a
process of its own, so that it can exit or be killed. All addresses are loopback addresses.
"""

import asyncio
import base64
import http.client
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
INSTANCE = os.path.join(ROOT, "target", "release", "fescue-instance")
HEARTBEAT_MS = 1200
DRAIN_MS = 2000
HOST = "users.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
LAYERS = 8


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """The start line and the headers (names in lower case) of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_sized(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", "0")))


def tenant_of(headers):
    """The tenant as an engine reads it: UTF-8, or None if the header is missing."""
    value = headers.get("fescueshore-tenant")
    return value and value.encode("latin-1").decode("utf-8", "replace")


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {http.client.responses[status]}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_response(status, value, headers=()):
    body = json.dumps(value).encode()
    return response(status, [("Content-Type", "application/json"), *headers], body)


def query_of(target):
    from urllib.parse import parse_qsl, urlsplit
    parts = urlsplit(target)
    return parts.path, dict(parse_qsl(parts.query, keep_blank_values=True))


# ---------------------------------------------------------------- the store

class Store:
    """Rows in tables, transactions and feeds, and the list of engines with its heartbeats."""

    def __init__(self):
        self.tables = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.heard = {}
        self.addr = None
        self.accepted = {}

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addr = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.expire())

    async def write(self, table, key, value):
        """Writes or removes (None) a row; returns its version."""
        async with self.changed:
            self.version += 1
            self.tables.setdefault(table, {})[key] = (self.version, value)
            self.changed.notify_all()
            return self.version

    async def put(self, table, key, value):
        return await self.write(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key, at in list(self.heard.items()):
                if now > at + 3 * HEARTBEAT_MS / 1000:
                    del self.heard[key]
                    await self.write("servers", key, None)

    def rows(self, table, keep):
        found = []
        for key, (ver, value) in sorted(self.tables.get(table, {}).items()):
            if keep(key, ver, value):
                row = {"table": table, "part": "", "key": key, "ver": ver}
                row.update({"removed": True} if value is None else {"value": value})
                found.append(row)
        return found

    def reply(self, rows):
        return {"rows": rows, "ver": self.version, "nowMs": int(time.monotonic() * 1000), "morePages": False}

    async def register(self, entry):
        key = entry.pop("id")
        if entry.pop("leave", False):
            self.heard.pop(key, None)
            await self.write("servers", key, None)
            return
        self.heard[key] = time.monotonic()
        before = self.tables.get("servers", {}).get(key, (0, None))[1]
        before = before and json.loads(base64.b64decode(before))
        if before is None or {**before, "seq": 0} != {**entry, "seq": 0}:
            await self.put("servers", key, entry)
        self.accepted.setdefault(key, []).append((time.monotonic(), entry["state"]))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_sized(reader, headers)
                writer.write(await self.answer(line, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, query = query_of(target)
        if path == "/standin/entry":
            await self.register(json.loads(body))
            return response(200)
        if path == "/-/rows-get":
            start, end = query.get("from", ""), query.get("target")
            keep = lambda key, _, value: value is not None and key >= start and (end is None or key < end)
            rows = self.rows(query["table"], keep)[: int(query.get("limit", "500"))]
            return json_response(200, self.reply(rows))
        if path == "/-/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            async with self.changed:
                while True:
                    rows = self.rows(query["table"], lambda _, ver, __: ver > after)
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        rows.sort(key=lambda row: row["ver"])
                        return json_response(200, self.reply(rows))
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        return response(404)

    async def transact(self, tx):
        current = lambda it: self.tables.get(it["table"], {}).get(it["key"], (0, None))
        present = lambda it: current(it)[0] if current(it)[1] is not None else 0
        conditions = tx.get("precondition", [])
        if any(present(it) != it["ver"] for it in conditions):
            keys = {it["key"] for it in conditions}
            rows = self.rows(conditions[0]["table"], lambda key, _, value: key in keys and value is not None)
            return json_response(412, self.reply(rows))
        async with self.changed:
            self.version += 1
            for put in tx.get("puts", []):
                self.tables.setdefault(put["table"], {})[put["key"]] = (self.version, put["value"])
            for gone in tx.get("remove", []):
                self.tables.setdefault(gone["table"], {})[gone["key"]] = (self.version, None)
            self.changed.notify_all()
        return json_response(200, self.reply([]))


def manifest(version, keys=(KEY,), resumable=True, more_tenants=()):
    engine = {
        "layers": LAYERS, "layerMb": 1000.0, "tokenKvBytes": 400000, "step_ms": 1.0, "read_per_s": 100000,
        "loads_at_once": 0, "usual": {"prompt": 100, "answer": 80}, "models": [{"name": "m", "loadS": 0.5}],
        "kinds": [{"name": "a", "mb": 24000.0, "pace": 1.0, "readX": 1.0}],
    }

    def route(name, kind, service, attempts, timeout_ms, goal_ms):
        made = {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service,
                "timeoutMs": timeout_ms, "goalMs": goal_ms, "priority": 1, "maxAttempts": attempts,
                "public": False}
        if kind == "stream":
            made.update({"sticky": True, "resumable": resumable, "gapTargetMs": 200})
        return made

    return {
        "version": version,
        "routes": [
            route("draft", "stream", "writer", 2, 20000, 500),
            route("save", "non_idempotent", "desk", 1, 2500, 150),
            route("look", "idempotent", "desk", 2, 2500, 150),
        ],
        "services": [
            {"name": "writer", "healthPath": "/healthz", "maxConns": 1000, "engine": engine},
            {"name": "desk", "healthPath": "/healthz", "maxConns": 100},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 30000},
        "tenants": [{"name": TENANT, "apiKeys": list(keys)}, *more_tenants],
    }


# ---------------------------------------------------------------- engines (a process each)

class Engine:
    """One engine of `writer`, or one replica of `desk`. At SIGUSR1 it reports `draining`; at SIGUSR2 it is faulty for
    `spell_s` seconds: after a share `extra_x` of its answers a replica sends the first `extra_bytes` bytes of them again;
    each `unframed_every`th stream of an engine has no length."""

    def __init__(self, options):
        self.id = options["id"]
        self.service = options["service"]
        self.zone = options["zone"]
        self.store = options["store"]
        self.unframed_every = options.get("unframed_every", 20)
        self.spell_streams = 0
        self.pause_s = options.get("pause_ms", 40) / 1000
        self.work_s = options.get("work_ms", 30) / 1000
        self.slots = options.get("slots", 64)
        self.places = options.get("places", 64)
        self.spell_s = options.get("spell_s", 5.0)
        self.extra_x = options.get("extra_x", 0.03)
        self.extra_bytes = options.get("extra_bytes", 80)
        self.extra_late_s = options.get("extra_late_ms", 5) / 1000
        self.faulty_until = 0.0
        self.working = 0
        self.free = asyncio.Semaphore(self.slots)
        self.answer_bytes = options.get("answer_bytes", 700)
        self.log = open(options["log"], "a", buffering=1)
        self.state = "ready"
        self.layers = None
        self.seq = 0
        self.fence = 0
        self.born = int(time.time() * 1000)
        self.port = options.get("port", 0)
        # Begins to listen at SIGUSR1 only: how long Python takes to start is no part of a case.
        self.standby = options.get("standby", False)

    def note(self, what, **values):
        self.log.write(json.dumps({"at": round(time.time(), 3), "engine": self.id, "what": what, **values}) + "\n")

    async def run(self):
        if self.standby:
            begins = asyncio.Event()
            asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, begins.set)
            self.note("stands by")
            await begins.wait()
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]
        self.note("listens", port=self.port)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, lambda: asyncio.ensure_future(self.leave()))
        loop.add_signal_handler(signal.SIGUSR2, self.begin_spell)
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def begin_spell(self):
        self.faulty_until = time.monotonic() + self.spell_s
        self.spell_streams = 0
        self.note("is faulty from now on", for_s=self.spell_s)

    async def heartbeat(self, **extra):
        entry = {"id": self.id, "service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq, **extra}
        if self.service == "writer":
            entry["kind"] = "a"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
            if self.layers:
                entry["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
        host, port = self.store.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(entry).encode()
        writer.write(b"POST /standin/entry HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await read_head(reader)
        writer.close()

    async def leave(self):
        """Reports `draining`, and goes on serving until it is killed."""
        self.state = "draining"
        await self.heartbeat()
        self.note("the store has accepted that it is draining")

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_sized(reader, headers)
                if not await self.answer(writer, line, headers, body):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, line, headers, body):
        """Answers a request; returns whether the connection stays open."""
        method, target, _ = line.split(" ")
        if target == "/-/report":
            report = {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "seq": self.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0,
                      "pace": 1.0, "stalled": [], "kind": "a"}
            if self.layers:
                report["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
            writer.write(json_response(200, report))
            return True
        if target == "/-/order":
            order = json.loads(body)
            if order.get("op") == "place":
                if order.get("fence", 0) < self.fence:
                    writer.write(response(412))
                    return True
                self.fence = order.get("fence", 0)
                self.layers = (order["from"], order["target"])
                self.seq += 1
                self.note("order", layers=self.layers)
                writer.write(json_response(202, {}))
                asyncio.ensure_future(self.heartbeat())
            else:
                writer.write(json_response(404, {}))
            return True
        if target == "/healthz":
            writer.write(response(200 if self.state == "ready" else 503, [("Fescueshore-Instance-Id", self.id)]))
            return True
        attempt = headers.get("fescueshore-attempt-id", "")
        date = ("Date", time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime()))
        rejected = [("Fescueshore-Not-Executed", "1"), date, ("Fescueshore-Attempt-Id", attempt)]
        if headers.get("fescueshore-expect-instance", self.id) != self.id:
            writer.write(response(421, rejected))
            return True
        sealed = [date, ("Fescueshore-Attempt-Id", attempt), ("Fescueshore-Response-Seal", f"{self.id}.{attempt}")]
        if self.service == "writer":
            return await self.stream(writer, headers, attempt, sealed)
        if self.working >= self.places:
            self.note("rejects as full", attempt=attempt)
            return await self.send(writer, attempt, response(503, rejected))
        self.working += 1
        try:
            async with self.free:
                self.note("runs", attempt=attempt, method=method, target=target, bytes=len(body), state=self.state,
                          tenant=tenant_of(headers))
                await asyncio.sleep(self.work_s)
        finally:
            self.working -= 1
        answer = json.dumps({"attempt": attempt, "engine": self.id, "filler": "x" * self.answer_bytes}).encode()
        self.note("answers", attempt=attempt, status=200)
        return await self.send(writer, attempt, response(200, sealed, answer))

    async def send(self, writer, attempt, answer):
        """Sends an answer and, as a faulty engine, the beginning of a second copy of it a little later."""
        writer.write(answer)
        if time.monotonic() < self.faulty_until and random.random() < self.extra_x:
            await writer.drain()
            await asyncio.sleep(self.extra_late_s)
            writer.write(answer[: self.extra_bytes])
            self.note("sends bytes of a second answer", attempt=attempt, bytes=answer[: self.extra_bytes].decode())
        return True

    async def stream(self, writer, headers, attempt, sealed):
        hops = headers.get("fescueshore-hop-count", "")
        if self.layers is None or (not hops and self.layers != (0, LAYERS)):
            writer.write(response(421, [("Fescueshore-Attempt-Id", attempt), ("Fescueshore-Not-Executed", "1")]))
            return True
        count = int(headers["fescueshore-token-count"].split(",")[1])
        first = int(headers["last-event-id"]) + 1 if "last-event-id" in headers else 0
        unframed = False
        if time.monotonic() < self.faulty_until:
            self.spell_streams += 1
            unframed = self.spell_streams % self.unframed_every == 0
        self.note("runs", attempt=attempt, first=first, unframed=unframed, hops=hops, state=self.state,
                  tenant=tenant_of(headers))
        framing = [("Connection", "close")] if unframed else [("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in sealed + framing]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, count):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        self.note("answers", attempt=attempt)
        if unframed:
            return False
        writer.write(b"0\r\n\r\n")
        return True


# ---------------------------------------------------------------- a client

async def call(front, target, attempt, method="POST", body=b"{}", tokens=None, deadline_ms=20000, extra=(),
               key=KEY, keep=None, bytes_per_s=None):
    """Sends a request on a new channel, or on `keep` (reader, writer); returns what the client sees."""
    seen = {"attempt": attempt, "status": None, "headers": {}, "body": b"", "whole": False, "events": [], "pause_ms": 0}
    started = last = time.monotonic()
    try:
        if keep:
            reader, writer = keep
        else:
            host, port = front.split(":")
            sock = socket.socket()
            if bytes_per_s:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            reader, writer = await asyncio.open_connection(sock=sock, limit=65536)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Fescueshore-Attempt-Id: {attempt}",
                 f"Fescueshore-Deadline-Ms: {deadline_ms}", f"Fescueshore-Credential: {key}",
                 f"Content-Length: {len(body)}"]
        if tokens:
            lines += ["Fescueshore-Model: m", f"Fescueshore-Token-Count: {tokens[0]},{tokens[1]}",
                      f"Fescueshore-Prompt-Prefix: 5c1e07a2:40,{attempt[-8:]}:{tokens[0] - 40}"]
        lines += [f"{name}: {value}" for name, value in extra]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            seen["failure"] = "channel closed without an answer"
            return seen
        seen["status"] = int(head[0].split(" ")[1])
        seen["headers"] = head[1]
        if "chunked" in head[1].get("transfer-encoding", ""):
            while True:
                # `readuntil` fails if the channel ends here: only the final chunk makes the body whole.
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size)
                await reader.readuntil(b"\r\n")
                if size == 0:
                    break
                seen["pause_ms"] = max(seen["pause_ms"], int((time.monotonic() - last) * 1000) if seen["body"] else 0)
                last = time.monotonic()
                seen["body"] += piece
        else:
            left = int(head[1].get("content-length", "0"))
            while left and bytes_per_s:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    raise asyncio.IncompleteReadError(seen["body"][-20:], left)
                seen["body"] += piece
                left -= len(piece)
                await asyncio.sleep(len(piece) / bytes_per_s)
            seen["body"] += await reader.readexactly(left)
        seen["whole"] = True
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        seen["failure"] = repr(error)
    finally:
        seen["took_ms"] = int((time.monotonic() - started) * 1000)
        if not keep:
            try:
                writer.close()
            except UnboundLocalError:
                pass
    seen["events"] = [int(line[4:]) for line in seen["body"].decode("latin-1").split("\n") if line.startswith("id: ")]
    return seen


# ---------------------------------------------------------------- the deployment

def free_port(kind=socket.SOCK_STREAM, ip="127.0.0.1"):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Deployment:
    """The store, engines and instances of one script. `close` ends every process that it started."""

    def __init__(self, folder):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="fescue-review-")
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.engine_log = os.path.join(self.temp, "engines.log")
        open(self.engine_log, "w").close()
        self.store = Store()
        self.engines = {}
        self.instances = {}
        self.started_with = {}
        self.started = time.time()
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    def note(self, text):
        self.record.write("%8.3f  %s\n" % (time.time() - self.started, text))

    async def start_engine(self, name, service, zone, **options):
        options = {"id": name, "service": service, "zone": zone, "store": self.store.addr, "log": self.engine_log,
                   **options}
        process = await asyncio.create_subprocess_exec(sys.executable, os.path.abspath(__file__), "engine",
                                                       json.dumps(options), start_new_session=True)
        self.engines[name] = process
        self.started_with[name] = options

    async def crash_engine(self, name):
        """Kills an engine and waits until its process is gone."""
        self.engines[name].kill()
        await self.engines[name].wait()

    async def prepare_restart(self, name):
        """Prepares the next boot of an engine, which begins at SIGUSR1, at the same address and with a new id."""
        listening = [it for it in self.engine_lines() if it["engine"] == name and it["what"] == "listens"]
        options = {**self.started_with[name], "port": listening[-1]["port"], "standby": True}
        boot = options["id"] = f"i-{random.getrandbits(32):08x}"
        await self.start_engine(boot, options.pop("service"), options.pop("zone"), **options)

        async def stands_by():
            return any(it["engine"] == boot for it in self.engine_lines())
        await self.until("the next boot stands by", stands_by)
        return boot

    async def start_instance(self, name, zone, number, bootstrap=True, **settings):
        ip = f"{self.net}.{number}"
        ports = {kind: free_port(ip=ip) for kind in ("front", "ready", "control", "directory")}
        # The same number has to be free for TCP and UDP.
        peers, metrics = free_port(ip=ip), free_port(ip=ip)
        value = {
            "nodeName": name, "role": "instance", "machineClass": "front", "serves": ["front", "directory"],
            "ip": ip, "zone": zone, "region": "tunis",
            "zones": {"lac": "tunis", "charguia": "tunis", "marsa": "tunis"},
            "listen": {kind: f"{ip}:{port}" for kind, port in ports.items() if kind != "control"},
            "portRange": [peers, peers], "seeds": [], "bootstrap": bootstrap, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform", "layers"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                       "drainMs": DRAIN_MS, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
                       "rollbackSlackMs": 250, "outerMs": 5000, "revokeStrict": True, "revokeMs": 5000,
                       "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 198, "recoverS": 12, "passMs": 120,
                       "retryAfterS": 0, "stall_ms": 3000, "requireFence": True, "ttl_max_s": 5},
            "platform": {"addr": self.store.addr, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 8.0,
                         "appendsPerS": 150, "rowBytes": 65536, "across": False, "historyS": 20,
                         "blobBytes": 8388608, "blobMs": 25.0, "blobMbPerS": 80.0},
            **settings,
        }
        path = os.path.join(self.temp, name + ".json")
        with open(path, "w") as file:
            json.dump(value, file)
        log = open(os.path.join(self.temp, name + ".log"), "a")
        process = await asyncio.create_subprocess_exec(
            INSTANCE, "--metrics-port", str(metrics), cwd=ROOT, stdout=log, stderr=log, start_new_session=True,
            env={"FESCUESHORE_BOOT": path, "PATH": os.environ.get("PATH", "")})
        self.instances[name] = {"process": process, "front": f"{ip}:{ports['front']}",
                                "ready": f"{ip}:{ports['ready']}", "log": log.name}

    async def until(self, what, holds, limit_s=25):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await holds():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("not reached in time: " + what)

    async def start(self, instances=3, engines=4, replicas=2, **engine_options):
        await self.store.start()
        await self.store.put("op", "config", manifest(7))
        zones = ["lac", "charguia", "marsa"]
        for number in range(engines):
            await self.start_engine(f"i-{number:02}e0a1", "writer", zones[number // 2 % 3], **engine_options)
        for number in range(replicas):
            await self.start_engine(f"i-{number:02}d0b2", "desk", zones[number % 3], **engine_options)
        for number in range(instances):
            await self.start_instance(f"front-{zones[number % 3]}-{number + 1}", zones[number % 3], number + 1)
        await self.until("instances are ready", self.are_ready)
        await self.until("streams are served", self.serves_streams)
        self.note(f"deployment serves: {instances} instances, {engines} engines, {replicas} replicas")

    async def are_ready(self):
        for instance in self.instances.values():
            try:
                host, port = instance["ready"].split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
            except ConnectionError:
                return False
            if head is None or " 200 " not in head[0]:
                return False
        return True

    async def serves_streams(self):
        for number, instance in enumerate(self.instances.values()):
            seen = await call(instance["front"], "/draft/probe", f"{random.getrandbits(64):016x}", tokens=(80, 2))
            if not seen["whole"] or seen["status"] != 200:
                return False
        return True

    def engine_lines(self):
        with open(self.engine_log) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def runs(self):
        """The runs of each attempt."""
        runs = {}
        for line in self.engine_lines():
            if line["what"] == "runs":
                runs.setdefault(line["attempt"], []).append(line)
        return runs

    async def close(self):
        processes = list(self.engines.values()) + [it["process"] for it in self.instances.values()]
        for process in processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in processes:
            await process.wait()
        self.record.close()
        if not os.environ.get("KEEP"):
            import shutil
            shutil.rmtree(self.temp, ignore_errors=True)


async def begin_streams(deployment, count, events, gap_s=0.004):
    """Sends streams of `events` events to the instances in turn. Returns each attempt's instance, and the calls."""
    names, sent, calls = list(deployment.instances), {}, []
    for number in range(count):
        attempt, name = f"{random.getrandbits(64):016x}", names[number % len(names)]
        sent[attempt] = name
        calls.append(asyncio.ensure_future(
            call(deployment.instances[name]["front"], "/draft/menu", attempt, tokens=(200, events))))
        await asyncio.sleep(gap_s)
    return sent, calls


async def end_streams(deployment, sent, calls, events):
    """Waits for the answers, records all, and returns those that look complete and aren't."""
    answers = await asyncio.gather(*calls)
    runs, breaks, counts = deployment.runs(), [], {}
    lines = []
    for seen in answers:
        attempt = seen["attempt"]
        own = ", ".join(f"{it['engine']} from event {it['first']}{' without a length' if it['unframed'] else ''}"
                        for it in runs.get(attempt, []))
        is_whole = seen["events"] == list(range(events))
        text = (f"{attempt} to {sent[attempt]}: status {seen['status']}, "
                f"{'ends as complete' if seen['whole'] else 'broken off'}, {len(seen['events'])} of {events} events, "
                f"longest pause {seen['pause_ms']} ms, run by {own or 'none'}, {seen['took_ms']} ms")
        lines.append("sent, answered " + text)
        kind = f"{seen['status']} {'whole' if is_whole else 'not whole'}"
        counts[kind] = counts.get(kind, 0) + 1
        if seen["whole"] and seen["status"] == 200 and not is_whole:
            breaks.append("ORDER: a stream ends as complete before its last piece: " + text)
    deployment.note(f"sent {len(sent)} streams POST /draft/menu; answers: {counts}")
    unframed = [it for own in runs.values() for it in own if it["unframed"]]
    deployment.note(f"runs without a length: {len(unframed)} of {sum(len(own) for own in runs.values())}")
    for text in lines:
        deployment.note(text)
    for line in deployment.engine_lines():
        if line["what"] not in ("runs", "answers", "order"):
            deployment.note("engine " + " ".join(f"{name}={value}" for name, value in line.items()))
    return breaks


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def run_case(folder, case):
    """Runs `case(deployment, trouble)`, which returns the breaks that were seen; exits with 0, 1 or 2."""
    async def main():
        deployment = Deployment(folder)
        code = 2
        try:
            trouble = os.environ.get("TROUBLE", "1") != "0"
            breaks = await asyncio.wait_for(case(deployment, trouble), 110)
            for text in breaks:
                deployment.note("BROKEN: " + text)
            deployment.note("result: " + ("broken" if breaks else "held"))
            code = 1 if breaks else 0
        except CannotRun as error:
            deployment.note(f"cannot run: {error}")
        except Exception as error:
            deployment.note(f"cannot run: {error!r}")
        finally:
            await deployment.close()
        return code
    sys.exit(asyncio.run(main()))


if __name__ == "__main__" and sys.argv[1:2] == ["engine"]:
    asyncio.run(Engine(json.loads(sys.argv[2])).run())
