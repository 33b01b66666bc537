"""Callers open a new channel for each request and leave it to the instance to close it after the idle timeout."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "rig-2"))
import rig  # noqa: E402

# A machine and the bounds of kkl-tunis-grown.
rig.MAX_FDS, rig.MEMORY_MB, rig.LINK_MBPS = 4100, 160, 20.0
rig.BOUNDS.update({"contactMs": 4000, "ackMs": 6000, "catchUpS": 6, "drainMs": 3000, "configMs": 3000, "outerMs": 6000,
                   "recoverS": 15, "retrySlack": 360, "passMs": 200})
CALLERS = 120           # The site has 254 callers.
PER_S = 110.0           # New channels a second: half of the site's 220 requests a second, as if two instances were left.
RUN_S = 60.0
TRY_S = 1.0             # Callers allow a new channel one second to be established.
CONTACT_S = rig.BOUNDS["contactMs"] / 1000
IDLE_S = rig.IDLE_TIMEOUT_MS / 1000
NEEDED_CALLERS = 7


async def answer(endpoint, request, method, target, headers, body, writer):
    await asyncio.sleep(0.03)
    writer.write(rig.response(request, b"x" * 800))
    await writer.drain()
    return True


class Tries:
    """Attempts to get a new channel, and what became of them."""

    def __init__(self):
        self.last_taken = rig.now()
        self.since_taken = {}
        self.longest_s, self.most_callers = 0.0, 0
        self.answered, self.failed, self.unserved, self.open, self.most_open = 0, 0, 0, 0, 0
        self.statuses = {}

    def taken(self):
        self.last_taken, self.since_taken = rig.now(), {}

    def not_taken(self, caller):
        self.failed += 1
        self.since_taken[caller] = rig.now()
        self.longest_s = max(self.longest_s, rig.now() - self.last_taken)
        if rig.now() - self.last_taken > CONTACT_S:
            self.most_callers = max(self.most_callers, len(self.since_taken))


async def hold(reader, writer, tries):
    """A channel that its caller does not use again: it waits for the instance to close it."""
    tries.open += 1
    tries.most_open = max(tries.most_open, tries.open)
    try:
        if rig.TROUBLE:
            await reader.read()
    except OSError:
        pass
    tries.open -= 1
    writer.close()


async def request(front, caller, tries, channels, record):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*front), TRY_S)
    except (OSError, asyncio.TimeoutError):
        tries.not_taken(caller)
        return
    name = rig.new_id()
    try:
        writer.write(rig.request_head("GET", "/price/1", name, 2500))
        status, _, _ = await asyncio.wait_for(rig.read_answer(reader), 2.5)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        # The kernel has completed the channel, but the instance has not read the request.
        tries.unserved += 1
        tries.not_taken(caller)
        writer.close()
        return
    tries.taken()
    tries.answered += 1
    tries.statuses[status] = tries.statuses.get(status, 0) + 1
    channels.append(asyncio.create_task(hold(reader, writer, tries)))


async def caller(front, index, tries, channels, record):
    end = rig.now() + RUN_S
    due = rig.now() + index / PER_S
    running = []
    while due < end:
        await asyncio.sleep(max(0.0, due - rig.now()))
        running.append(asyncio.create_task(request(front, index, tries, channels, record)))
        due += CALLERS / PER_S
    await asyncio.gather(*running)


async def platform(instance, tries, record, ready):
    """Asks once a second whether the instance is ready, on a channel that it keeps."""
    reader, writer = await asyncio.open_connection(*instance.ready)
    while True:
        writer.write(f"GET /-/ready HTTP/1.1\r\nHost: {instance.ip}\r\n\r\n".encode())
        status, _, _ = await asyncio.wait_for(rig.read_answer(reader), 1)
        ready.append((rig.now(), status))
        record.line(f"ready: {status}, channels that callers have left open: {tries.open}, descriptors of the instance: "
                    f"{instance.open_files()} of {rig.MAX_FDS}, resident {instance.rss_mb():.0f} MB, requests answered {tries.answered} {tries.statuses}, "
                    f"tries for a new channel that failed {tries.failed}, of these not read {tries.unserved}")
        await asyncio.sleep(1)


async def case(record, work):
    net = rig.free_subnet()
    store = rig.Store((f"{net}.2", 8223))
    await store.start()
    endpoints = [rig.Application(f"i-app{n}", (f"{net}.{20 + n}", 8080), answer) for n in range(3)]
    for endpoint in endpoints:
        await endpoint.start()
        store.put("servers", endpoint.name, rig.server_row(endpoint, "ledger"))
    routes = [rig.route("r-price", "/price/", "idempotent", "ledger", 1200, attempts=2)]
    store.put("op", "config", rig.manifest(7, routes, [rig.plain_service("ledger")]))
    instance = rig.Instance("front-lac-1", f"{net}.10", store, work)
    await instance.start()
    try:
        await instance.wait_ready()
        record.line(f"trouble: {rig.TROUBLE}; {PER_S} new channels a second, closed "
                    + ("by the instance" if rig.TROUBLE else "by the caller after the answer, for control"))
        tries, channels, ready = Tries(), [], []
        watch = asyncio.create_task(platform(instance, tries, record, ready))
        callers = [caller(instance.front, n, tries, channels, record) for n in range(CALLERS)]
        await asyncio.gather(*callers)
        is_ready = not watch.done() and all(status == 200 for _, status in ready)
        watch.cancel()
        record.line(f"longest time in which no new channel was taken: {tries.longest_s:.1f} s; callers that tried in "
                    f"such a time of over {CONTACT_S:.0f} s: {tries.most_callers}; most channels left open: "
                    f"{tries.most_open} (an idle timeout of {IDLE_S:.0f} s allows {PER_S * IDLE_S:.0f})")
        for channel in channels:
            channel.cancel()
    finally:
        await instance.stop()
    broken = is_ready and tries.longest_s > CONTACT_S and tries.most_callers >= NEEDED_CALLERS
    record.verdict(f"RECOVER {'broken' if broken else 'held'}: no new channel was taken for {tries.longest_s:.1f} s while "
                   f"{tries.most_callers} callers tried and the instance said that it is ready: {is_ready}")
    return not broken


rig.main(HERE, case)
