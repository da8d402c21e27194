"""What proofs about the planner have in common."""
from basics import wait

# short spans, so that a takeover takes a second; flight_after covers the
# longest delay of an order whose sender is gone
SETTINGS = {"lease_span": "1500ms", "lease_renew": "300ms",
            "decide": "100ms", "order_timeout": "1500ms",
            "resend_after": "400ms", "flight_after": "5s", "vm_lag": "500ms",
            "spread_after": "1500ms",
            "place_loads_per_second": "50", "place_loads_at_once": "20",
            "platform_timeout": "300ms"}
LONGEST_DELAY_MS = 3800


def stewards(world, count=2, **settings):
    made = [world.steward("steward-%d" % i, domain="abc"[i % 3],
                          **{**SETTINGS, **settings}) for i in range(count)]
    for steward in made:
        world.platform.set(vms={steward.name: "live"})
    return made


def term(world):
    return world.rows("planner").get("term", {"term": 0})


def planner(world):
    """The daemon that holds the term."""
    name = wait("a planner", lambda: term(world).get("holder"))
    return next(x for x in world.daemons if x.name == name)


def await_takeover(world, before):
    wait("a takeover", lambda: term(world)["term"] > before["term"])
    return planner(world)


def progress(world):
    return world.rows("planner").get("progress", {})


def await_rolled(world, doubt=True):
    """Until the version in force is loaded; doubt: though some orders may
    still land."""
    def rolled():
        now = progress(world)
        return (now.get("rolled") and now["version"] == world.version and
                (doubt or not now["doubt"]))
    wait("version %d rolled" % world.version, rolled)


def unsettled(world):
    """Instances whose load may still land, by the ledgers."""
    return [entry["inst"] for row in world.rows("ledger").values()
            for entry in row["entries"] if entry["sends"]]


def ordered(world):
    """Instances of the version rolled last, by the ledgers."""
    return [entry["inst"] for row in world.rows("ledger").values()
            for entry in row["entries"]
            if entry["version"] == str(world.version)]


def set_versions(world, version, names, **keys):
    for name in names:
        world.model(name, version=str(version), **keys)
