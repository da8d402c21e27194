"""Runs small systems of several sizes and reads what each daemon cost."""
import json
import os
import time

from basics import Failure, request, together, wait
from harness import World

WINDOW_S = 15       # over which a system at rest is observed
LOOK_S = 0.2        # between looks at a start
SETTLE_S = 4        # after it is rolled
BASE = {"daemons": 8, "replicas": 16, "models": 40}
SIZES = {
    "daemons": (8, 32, 96),
    "replicas": (48, 96, 144),
    "models": (40, 200, 600),
}
CHECK = {"daemons": 48, "replicas": 144, "models": 300}
REQUESTS = (0, 400, 800, 1600)   # in one window, through one entry
CHANGES = (0, 3, 6, 9)           # in one window
PAGE = os.sysconf("SC_PAGE_SIZE")
NS_PER_S = 1e9
PRODUCTION = {
    "daemon_gossip_period": "1s",
    "daemon_polls_per_second": "4",
    "daemon_poll_age": "1s",
    "platform_poll_bundle": "1500ms",
    "platform_poll_vms": "3s",
}
# the weight store is not what is measured
PLACE = {"place_loads_per_second": "1000", "place_loads_at_once": "1000"}


def build_world(build, daemons, replicas, models):
    """A rolled system at rest; every item is ready somewhere."""
    world = World(build, 1)
    for i in range(replicas):
        world.engine("engine-%d" % i, domain="abcd"[i % 4], load_ms=0)
    for i in range(models):
        world.model("model-%d" % i, size="256MiB")
    world.caller()
    for i in range(daemons // 2):
        world.entry("entry-%d" % i, **PRODUCTION)
        world.steward("steward-%d" % i, **PRODUCTION, **PLACE)
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
    row = json.loads(json.loads(body)["d"])
    return row["rolled"] and row["version"] == world.version


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
        return int(file.read().split()[1]) * PAGE


def role_of(daemon):
    status = daemon.status()
    if status["role"] == "steward" and status["planner"] == daemon.name:
        return "planner"
    return status["role"]


def sample(daemon):
    return read_cpu(daemon), read_counters(daemon)


def rates(daemon, before, after, span):
    """What a daemon spent a second, by kind."""
    row = {"cpu_percent": (after[0] - before[0]) / span * 100,
           "memory_mib": read_memory(daemon) / (1 << 20)}
    control = 0.0
    for name, value in after[1].items():
        rate = (value - before[1].get(name, 0)) / span
        if name.startswith("bk_control_bytes_total"):
            kind = name.split('kind="')[1].split('"')[0]
            row["bytes_" + kind] = row.get("bytes_" + kind, 0.0) + rate
            control += rate
        elif name in ("bk_platform_reads_total", "bk_platform_writes_total"):
            row[name.split("_")[2]] = rate
    row["control_bytes"] = control
    return row


def observe(world, work=lambda: None):
    """The mean over each role's daemons, during work and WINDOW_S."""
    before = [sample(d) for d in world.daemons]
    start = time.monotonic()
    work()
    time.sleep(max(0.0, WINDOW_S - (time.monotonic() - start)))
    after = [sample(d) for d in world.daemons]
    span = time.monotonic() - start
    roles = {}
    for daemon, b, a in zip(world.daemons, before, after):
        roles.setdefault(role_of(daemon), []).append(
            rates(daemon, b, a, span))
    means = {}
    for role, rows in roles.items():
        names = sorted({name for row in rows for name in row})
        means[role] = {name: sum(row.get(name, 0.0) for row in rows)
                       / len(rows) for name in names}
    return means, span


def add(points, dimension, size, means):
    for role, row in sorted(means.items()):
        for name, value in sorted(row.items()):
            points.append((dimension, size, role, name, value))
    shown = {role: {name: round(value, 2) for name, value in row.items()
                    if not name.startswith("bytes_")}
             for role, row in means.items()}
    print(dimension, size, json.dumps(shown), flush=True)


def send_requests(world, count):
    """Whole answers through the first entry, from four callers at once."""
    entry = world.daemons[0]
    headers = {"Authorization": "Bearer token-1"}
    body = json.dumps({"model": "model-1", "prompt": "p", "max_tokens": 1})

    def some():
        for _ in range(count // 4):
            code = request(entry.addr, "POST", "/v1/completions", body,
                           headers)[0]
            if code != 200:
                raise Failure("a request failed: %d" % code)

    together(*[some] * 4)


def change_some(world, count):
    """Rolls, each adding a caller; notes the time until all act on it."""
    spans = []
    for i in range(count):
        world.caller("more-%d-%d" % (world.version, i))
        start = time.monotonic()
        world.roll()
        wait("in force", lambda: all(
            d.status().get("acting") == world.version
            for d in world.daemons))
        spans.append(time.monotonic() - start)
    return spans


def measure_load(build, points):
    """Requests and changes on one system; the first entry does the work."""
    world = build_world(build, **BASE)
    try:
        for count in REQUESTS:
            before = sample(world.daemons[0])
            means, span = observe(world, lambda c=count: send_requests(
                world, c))
            after = sample(world.daemons[0])
            means = {"entry": rates(world.daemons[0], before, after, span)}
            add(points, "requests", round(count / span, 2), means)
        for count in CHANGES:
            spans = []
            means, span = observe(world, lambda c=count: spans.extend(
                change_some(world, c)))
            add(points, "changes", round(count / span, 4), means)
            if spans:
                points.append(("changes", round(count / span, 4), "all",
                               "longest_in_force_s", max(spans)))
    finally:
        world.close(keep=False)


def measure_start(build, points, replicas):
    """What a new daemon costs until it has seen every upstream."""
    world = build_world(build, **dict(BASE, replicas=replicas))
    try:
        newcomer = world.entry("newcomer", **PRODUCTION)
        start = time.monotonic()
        wait("ready", lambda: looks_ready(newcomer))
        ready = time.monotonic() - start
        wait("it has seen all", lambda: has_seen_all(newcomer))
        seen = time.monotonic() - start
        zero = (0.0, {})
        row = rates(newcomer, zero, sample(newcomer), 1.0)
        add(points, "start", replicas, {"entry": {
            "seconds until ready": ready, "seconds until all are seen": seen,
            "control bytes": row["control_bytes"],
            "platform reads": row["reads"],
            "milliseconds of processor": row["cpu_percent"] * 10}})
    finally:
        world.close(keep=False)


def looks_ready(daemon):
    """Looks rarely, since each look costs the daemon something."""
    time.sleep(LOOK_S)
    return daemon.ready()


def has_seen_all(daemon):
    time.sleep(LOOK_S)
    rows = daemon.status().get("upstreams", ())
    return rows and all(row["seen_ms"] >= 0 for row in rows)


def all_points(build):
    """Rows of (dimension, size, role, quantity, value)."""
    points = []
    for dimension, sizes in SIZES.items():
        for size in sizes:
            world = build_world(build, **dict(BASE, **{dimension: size}))
            try:
                add(points, dimension, size, observe(world)[0])
            finally:
                world.close(keep=False)
    world = build_world(build, **CHECK)
    try:
        add(points, "check", 0, observe(world)[0])
    finally:
        world.close(keep=False)
    measure_load(build, points)
    for replicas in SIZES["replicas"]:
        measure_start(build, points, replicas)
    return points
