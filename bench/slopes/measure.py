"""Runs small systems of several sizes and measures the cost of each daemon."""
import json
import os
import time

from basics import Failure, request, together, wait
from harness import World

MEASURE_S = 15          # length of one measurement
POLL_INTERVAL_S = 0.2   # between polls of a daemon that starts
SETTLE_S = 4            # after the bundle is rolled
BASE = {"daemons": 8, "replicas": 16, "models": 40}
SIZES = {
    "daemons": (8, 32, 96),
    "replicas": (48, 96, 144),
    "models": (40, 200, 600),
}
# no line is fitted to this size; the estimates are compared with it
CHECK_SIZE = {"daemons": 48, "replicas": 144, "models": 300}
REQUESTS = (0, 400, 800, 1600)   # in one measurement, through one entry
CHANGES = (0, 3, 6, 9)           # in one measurement
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
NS_PER_S = 1e9
PRODUCTION = {
    "daemon_gossip_period": "1s",
    "daemon_polls_per_second": "4",
    "daemon_poll_age": "1s",
    "platform_poll_bundle": "1500ms",
    "platform_poll_vms": "3s",
}
# no limits, since the weight store is not measured
UNLIMITED_LOADS = {"place_loads_per_second": "1000",
                   "place_loads_at_once": "1000"}


def build_world(build, daemons, replicas, models):
    """Starts a system and waits until its bundle is rolled and every item is
    ready on some engine."""
    world = World(build, 1)
    for i in range(replicas):
        world.engine("engine-%d" % i, domain="abcd"[i % 4], load_ms=0)
    for i in range(models):
        world.model("model-%d" % i, size="256MiB")
    world.caller()
    for i in range(daemons // 2):
        world.entry("entry-%d" % i, **PRODUCTION)
        world.steward("steward-%d" % i, **PRODUCTION, **UNLIMITED_LOADS)
    world.platform.set(vms={d.name: "live" for d in world.daemons})
    world.roll()
    world.await_ready()
    wait("rolled", lambda: is_rolled(world), 300)
    time.sleep(SETTLE_S)
    return world


def is_rolled(world):
    code, _, body = request(world.platform.addr, "GET",
                            "/v1/row?t=planner&k=progress")
    if code != 200:
        return False
    progress = json.loads(json.loads(body)["d"])
    return progress["rolled"] and progress["version"] == world.version


def read_counters(daemon):
    counters = {}
    for line in request(daemon.ops, "GET", "/metrics")[2].decode().split("\n"):
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            counters[name] = int(value)
    return counters


def read_cpu(daemon):
    with open("/proc/%d/schedstat" % daemon.process.pid) as file:
        return int(file.read().split()[0]) / NS_PER_S


def read_memory(daemon):
    with open("/proc/%d/statm" % daemon.process.pid) as file:
        return int(file.read().split()[1]) * PAGE_SIZE


def role_of(daemon):
    status = daemon.status()
    if status["role"] == "steward" and status["planner"] == daemon.name:
        return "planner"
    return status["role"]


def read_sample(daemon):
    return read_cpu(daemon), read_counters(daemon)


def cost_rates(daemon, before, after, elapsed):
    """The cost of a daemon per second, by quantity, from two samples that were
    taken elapsed seconds apart."""
    row = {"cpu_percent": (after[0] - before[0]) / elapsed * 100,
           "memory_mib": read_memory(daemon) / (1 << 20)}
    control_bytes = 0.0
    for name, value in after[1].items():
        rate = (value - before[1].get(name, 0)) / elapsed
        if name.startswith("bk_control_bytes_total"):
            kind = name.split('kind="')[1].split('"')[0]
            row["bytes_" + kind] = row.get("bytes_" + kind, 0.0) + rate
            control_bytes += rate
        elif name in ("bk_platform_reads_total", "bk_platform_writes_total"):
            row[name.split("_")[2]] = rate
    row["control_bytes"] = control_bytes
    return row


def observe_roles(world, work=lambda: None):
    """Runs work and measures all daemons meanwhile, for at least MEASURE_S.
    Returns the mean costs of each role and the elapsed seconds."""
    before = [read_sample(d) for d in world.daemons]
    start = time.monotonic()
    work()
    time.sleep(max(0.0, MEASURE_S - (time.monotonic() - start)))
    after = [read_sample(d) for d in world.daemons]
    elapsed = time.monotonic() - start
    roles = {}
    for daemon, first, last in zip(world.daemons, before, after):
        roles.setdefault(role_of(daemon), []).append(
            cost_rates(daemon, first, last, elapsed))
    means = {}
    for role, rows in roles.items():
        names = sorted({name for row in rows for name in row})
        means[role] = {name: sum(row.get(name, 0.0) for row in rows)
                       / len(rows) for name in names}
    return means, elapsed


def add_points(points, dimension, size, means):
    for role, row in sorted(means.items()):
        for name, value in sorted(row.items()):
            points.append((dimension, size, role, name, value))
    rounded = {role: {name: round(value, 2) for name, value in row.items()
                      if not name.startswith("bytes_")}
               for role, row in means.items()}
    print(dimension, size, json.dumps(rounded), flush=True)


def send_requests(world, count):
    """Sends unstreamed requests through the first entry, from four threads."""
    entry = world.daemons[0]
    headers = {"Authorization": "Bearer token-1"}
    body = json.dumps({"model": "model-1", "prompt": "p", "max_tokens": 1})

    def send_share():
        for _ in range(count // 4):
            code = request(entry.addr, "POST", "/v1/completions", body,
                           headers)[0]
            if code != 200:
                raise Failure("a request failed: %d" % code)

    together(*[send_share] * 4)


def roll_changes(world, count):
    """Rolls the bundle count times, each time with one more caller. Returns
    for each roll the seconds until all daemons act on it."""
    durations = []
    for i in range(count):
        world.caller("more-%d-%d" % (world.version, i))
        start = time.monotonic()
        world.roll()
        wait("in force", lambda: all(
            d.status().get("acting") == world.version
            for d in world.daemons))
        durations.append(time.monotonic() - start)
    return durations


def measure_requests_and_changes(build, points):
    """Measures the cost of requests at the first entry, and of bundle changes
    at all daemons."""
    world = build_world(build, **BASE)
    try:
        for count in REQUESTS:
            before = read_sample(world.daemons[0])
            means, elapsed = observe_roles(
                world, lambda c=count: send_requests(world, c))
            after = read_sample(world.daemons[0])
            means = {"entry": cost_rates(world.daemons[0], before, after,
                                         elapsed)}
            add_points(points, "requests", round(count / elapsed, 2), means)
        for count in CHANGES:
            durations = []
            means, elapsed = observe_roles(
                world, lambda c=count: durations.extend(
                    roll_changes(world, c)))
            add_points(points, "changes", round(count / elapsed, 4), means)
            if durations:
                points.append(("changes", round(count / elapsed, 4), "all",
                               "longest_in_force_s", max(durations)))
    finally:
        world.close(keep=False)


def measure_start(build, points, replicas):
    """Measures what a new entry costs until it has observed all upstreams."""
    world = build_world(build, **dict(BASE, replicas=replicas))
    try:
        entry = world.entry("newcomer", **PRODUCTION)
        start = time.monotonic()
        wait("ready", lambda: poll_ready(entry))
        ready_s = time.monotonic() - start
        wait("it has seen all", lambda: poll_all_seen(entry))
        all_seen_s = time.monotonic() - start
        zero_sample = (0.0, {})
        row = cost_rates(entry, zero_sample, read_sample(entry), 1.0)
        add_points(points, "start", replicas, {"entry": {
            "seconds until ready": ready_s,
            "seconds until all are seen": all_seen_s,
            "control bytes": row["control_bytes"],
            "platform reads": row["reads"],
            "milliseconds of processor": row["cpu_percent"] * 10}})
    finally:
        world.close(keep=False)


def poll_ready(daemon):
    """Polls rarely, since each poll adds to the measured cost."""
    time.sleep(POLL_INTERVAL_S)
    return daemon.ready()


def poll_all_seen(daemon):
    time.sleep(POLL_INTERVAL_S)
    rows = daemon.status().get("upstreams", ())
    return rows and all(row["seen_ms"] >= 0 for row in rows)


def measure_all(build):
    """Returns tuples of (dimension, size, role, quantity, value)."""
    points = []
    for dimension, sizes in SIZES.items():
        for size in sizes:
            world = build_world(build, **dict(BASE, **{dimension: size}))
            try:
                add_points(points, dimension, size, observe_roles(world)[0])
            finally:
                world.close(keep=False)
    world = build_world(build, **CHECK_SIZE)
    try:
        add_points(points, "check", 0, observe_roles(world)[0])
    finally:
        world.close(keep=False)
    measure_requests_and_changes(build, points)
    for replicas in SIZES["replicas"]:
        measure_start(build, points, replicas)
    return points
