"""Tables of more rows than one answer of the store holds, which change while
they are read."""
import time

from basics import case, check, wait
from platform_standins import Caller, Front, Replica, Store, configure, route

ROWS = 1200


def add_rows(store, address):
    for n in range(ROWS):
        store.put("servers", "x-%04d" % n, {
            "service": "other", "address": address, "zone": "a", "slots": 1,
            "state": "ready", "sequence": 1})


def start(world, store):
    return Front(world, store, "front-1", log="info").await_ready()


def states(front, upstream_id):
    return [x["is"] for x in front.events("upstream") if x["id"] == upstream_id]


@case
def large_list_that_changes(world):
    """A row is removed after its part of the list has been read: the upstream
    counts as removed."""
    store = Store()
    configure(store, 1, [route("safe", "safe")], ("app", "other"))
    sound = Replica(store, "i-0", slots=50)
    add_rows(store, sound.addr)
    read, parts = store.read, []

    def remove_between(query):
        if query["table"] == "servers":
            parts.append(query)
            if len(parts) == 2:
                store.put("servers", "x-0001", None)
        return read(query)
    store.read = remove_between
    front = start(world, store)
    check(len(parts) >= 3, "%d parts", len(parts))
    wait("x-0001 is gone", lambda: states(front, "x-0001")[-1:] == ["gone"],
         10)
    check(states(front, "x-0002") == ["listed"], "%s", states(front, "x-0002"))
    check(Caller(front).ask("/safe/")[0] == 200, "not served")


@case
def large_feed(world):
    """More changes than one answer holds are waiting: none is left out."""
    store = Store()
    configure(store, 1, [route("safe", "safe")], ("app", "other"))
    replica = Replica(store, "i-0", slots=50)
    front = start(world, store)
    wait("it reads changes", lambda: any(
        x["is"] for x in front.events("reader")))
    time.sleep(0.5)
    front.freeze()
    add_rows(store, replica.addr)
    front.thaw()
    for n in (0, 499, 500, 501, 900, ROWS - 1):
        wait("x-%04d is listed" % n, lambda n=n: states(
            front, "x-%04d" % n) == ["listed"], 10)
    check(Caller(front).ask("/safe/")[0] == 200, "not served")
