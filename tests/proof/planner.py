"""Helpers of the cases about the planner."""
from basics import wait

# short times, so that a takeover takes about a second; flight_after is longer
# than the longest delay of an order whose sender has died
SETTINGS = {"lease_span": "1500ms", "lease_renew": "300ms",
            "decide": "100ms", "order_timeout": "1500ms",
            "resend_after": "400ms", "flight_after": "5s", "vm_lag": "500ms",
            "spread_after": "1500ms",
            "place_loads_per_second": "50", "place_loads_at_once": "20",
            "platform_timeout": "300ms"}
LONGEST_DELAY_MS = 3800


def stewards(world, count=2, **settings):
    daemons = [world.steward("steward-%d" % i, domain="abc"[i % 3],
                             **{**SETTINGS, **settings}) for i in range(count)]
    for steward in daemons:
        world.platform.set(vms={steward.name: "live"})
    return daemons


def term(world):
    return world.row("planner", "term") or {"term": 0}


def planner(world):
    """The daemon that holds the planner's term."""
    name = wait("a planner", lambda: term(world).get("holder"))
    return next(x for x in world.daemons if x.name == name)


def await_takeover(world, previous):
    wait("a takeover", lambda: term(world)["term"] > previous["term"])
    return planner(world)


def progress(world):
    return world.row("planner", "progress")


def await_rolled(world, allow_unsettled=True):
    """Waits until the version in force is loaded. allow_unsettled: even if
    some orders may still take effect."""
    def rolled():
        row = progress(world)
        return (row.get("rolled") and row["version"] == world.version and
                (allow_unsettled or not row["doubt"]))
    wait("version %d rolled" % world.version, rolled)


def unsettled_instances(world):
    """Instances whose load order may still take effect, from the ledger."""
    return [entry["inst"] for row in world.rows("ledger").values()
            for entry in row["entries"] if entry["sends"]]


def ordered_instances(world):
    """Instances of the version rolled last, from the ledger."""
    return [entry["inst"] for row in world.rows("ledger").values()
            for entry in row["entries"]
            if entry["version"] == str(world.version)]


def set_versions(world, version, names, **keys):
    for name in names:
        world.model(name, version=str(version), **keys)
