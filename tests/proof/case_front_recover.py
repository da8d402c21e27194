"""VMs that have lost their links to all upstreams serve their callers by way
of other VMs."""
import itertools
import threading
import time

from basics import case, check, wait
from harness import next_port
from links import linked_front
from platform_standins import BOUNDS, Caller, Front, Replica, Store, \
    configure, route, sealed

CONTACT_S = 3  # from the cut until callers are served like those of other VMs
MIN_SHARE = 2 / 3  # of the first tries, compared with those at other VMs
MORE_CALLERS = 12  # than there are open connections to upstreams
ANSWER_TIME_S = 0.1
VERDICT_S = 0.7  # after crashes, until requests may be refused for them
NUMBERS = itertools.count()
PATHS = ("/safe/", "/once/", "/flow/", "/again/")


def answer_slowly(req, sock):
    time.sleep(ANSWER_TIME_S)
    sock.sendall(sealed(req))
    return True


def serve_linked(world, names, zones=None, upstreams=4):
    """Starts upstreams, and fronts whose links can be cut."""
    store = Store()
    configure(store, 1, [
        route("safe", "safe"), route("once", "unsafe"),
        route("flow", "streaming", maxAttempts=1),
        route("again", "streaming", resumable=True)])
    replicas = [Replica(store, "i-%d" % n, slots=50)
                for n in range(upstreams)]
    for replica in replicas:
        replica.handlers = [answer_slowly]
    zones = zones or ["a"] * len(names)
    fronts = [linked_front(world, store, name, zone=zone)
              for name, zone in zip(names, zones)]
    for front in fronts:
        front.await_ready()
    for front in fronts:
        wait("%s hears the others" % front.name, lambda: len(
            {x["name"] for x in front.events("peer heard")}) ==
            len(names) - 1)
    return store, replicas, fronts


def press(front, seconds, tally, only_path=None, model=None):
    """Asks for each kind of request in turn, or for one path, each on a new
    connection, and tallies (path, request id, status, whole)."""
    fields = {} if model is None else {"X_Model": model,
                                       "X_Token_Count": "100,10"}
    end = time.monotonic() + seconds
    n = 0
    while time.monotonic() < end:
        path = only_path or PATHS[n % len(PATHS)]
        request_id = "%s-%d" % (front.name, next(NUMBERS))
        caller = Caller(front)
        code, _, _, whole = caller.ask(path, b"", X_Request_Id=request_id,
                                       X_Deadline_Ms="4000", **fields)
        caller.close()
        tally.append((path, request_id, code, whole))
        time.sleep(0.02)
        n += 1


def press_all(fronts, seconds, callers=2, only_path=None, model=None):
    """Presses on all fronts at once; returns a tally for each."""
    tallies = [[] for _ in fronts]
    threads = [threading.Thread(target=press, args=(front, seconds, tally,
                                                    only_path, model))
               for front, tally in zip(fronts, tallies)
               for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return tallies


def share_served(tally):
    return sum(code == 200 and whole for _, _, code, whole in tally) / \
        max(1, len(tally))


def check_runs(replicas, tallies):
    """Nothing that may run once ran twice, what was served ran, and what was
    refused as not run did not."""
    counts = {}
    for replica in replicas:
        for run in replica.runs:
            counts[run.id] = counts.get(run.id, 0) + 1
    for tally in tallies:
        for path, request_id, code, whole in tally:
            ran = counts.get(request_id, 0)
            check(path in ("/safe/", "/again/") or ran <= 1,
                  "%s ran %d times", request_id, ran)
            check(not (code == 200 and whole) or ran > 0,
                  "%s was served and did not run", request_id)
            check(code not in (429, 503) or ran == 0,
                  "%s: %d, and it ran", request_id, code)


def check_served_like_others(cut_tallies, other_tallies):
    cut = share_served(sum(cut_tallies, []))
    others = share_served(sum(other_tallies, []))
    check(cut >= MIN_SHARE * others, "%.2f of the first tries, %.2f elsewhere",
          cut, others)


def cut_one(world, how):
    _, replicas, fronts = serve_linked(world, ["f-1", "f-2", "f-3"])
    tallies = press_all(fronts, 0.5)
    fronts[0].links.cut(how)
    tallies += press_all(fronts, CONTACT_S, MORE_CALLERS)
    cut, *others = press_all(fronts, 3, MORE_CALLERS)
    check_served_like_others([cut], others)
    fronts[0].links.restore()
    time.sleep(1)
    after = press_all(fronts, 1)
    check_served_like_others([after[0]], after[1:])
    check_runs(replicas, tallies + [cut] + others + after)


@case
def recover_links_live(world):
    """The open connections of a VM to the upstreams go on, and new ones are
    refused."""
    cut_one(world, "live")


@case
def recover_links_reset(world):
    """The connections are reset, and new ones are refused."""
    cut_one(world, "reset")


@case
def recover_links_hang(world):
    """The connections hang, and new ones get no answer."""
    cut_one(world, "hang")


@case
def recover_most_of_a_zone(world):
    """Five of six VMs of a failure domain lose their links: the others of all
    domains share the requests, and none takes more than its part."""
    names = ["f-%d" % n for n in range(9)]
    zones = ["a"] * 6 + ["b"] * 3
    _, replicas, fronts = serve_linked(world, names, zones)
    cut = fronts[:5]
    for front in cut:
        front.links.cut("hang")
    tallies = press_all(fronts, CONTACT_S)
    after = press_all(fronts, 3)
    check_served_like_others(after[:5], after[5:])
    check_runs(replicas, tallies + after)


@case
def recover_unsent_costs_no_retry(world):
    """An attempt that could not be sent is none that the retry budget limits:
    with next to no budget, a request is served by the one upstream that can
    be connected to."""
    store = Store()
    configure(store, 1, [route("once", "unsafe")])
    Replica(store, "i-live", slots=50)
    for n in range(4):
        Replica(store, "i-dead-%d" % n, slots=50).register(
            address="127.0.0.1:%d" % next_port())
    front = Front(world, store, bounds={
        **BOUNDS, "budgetRatio": 0.001, "budgetSlack": 0.01}).await_ready()
    for _ in range(5):
        code = Caller(front).ask("/once/", b"")[0]
        check(code == 200, "%d", code)


@case
def recover_few_are_left(world):
    """Six of eight VMs lose their links: the two others take the requests of
    all, also above their own number, and no VM sends requests to one that is
    known to be cut off as well."""
    names = ["f-%d" % n for n in range(8)]
    _, replicas, fronts = serve_linked(world, names)
    cut = fronts[:6]
    for front in cut:
        front.links.cut("hang")
    tallies = press_all(fronts, CONTACT_S)
    before = sum(len(x.events("refused")) for x in cut)
    after = press_all(fronts, 3, 6)
    check_served_like_others(after[:6], after[6:])
    check_runs(replicas, tallies + after)
    late = sum(len(x.events("refused")) for x in cut) - before
    check(late == 0, "%d requests went to VMs that are cut off", late)


@case
def recover_convicts_nobody(world):
    """A request that breaks off at two VMs in turn, since the links of each
    are reset, is not taken for one that crashes upstreams."""
    _, replicas, fronts = serve_linked(world, ["f-1", "f-2", "f-3"])
    for replica in replicas:
        replica.handlers = [lambda req, sock: (
            time.sleep(1), sock.sendall(sealed(req)))[0]]
    for n, front in enumerate(fronts[:2]):
        threads = [threading.Thread(target=lambda: Caller(front).ask(
            "/once/only", b"")) for _ in range(4)]
        for thread in threads:
            thread.start()
        wait("they run", lambda: sum(
            len(x.runs) for x in replicas) == 4 * (n + 1))
        front.links.cut("reset")
        for thread in threads:
            thread.join()
    for replica in replicas:
        replica.handlers = [answer_slowly]
    time.sleep(VERDICT_S)
    for front in fronts:
        code = Caller(front).ask("/once/only", b"")[0]
        check(code == 200, "%d at %s", code, front.name)


@case
def recover_upstreams_that_ended(world):
    """Half of the upstreams end at once and are listed for a while: no VM takes
    that for the loss of its own links."""
    _, replicas, fronts = serve_linked(
        world, ["f-%d" % n for n in range(8)], upstreams=8)
    tallies = press_all(fronts, 1, 6)
    for replica in replicas[::2]:
        replica.crash()
    tallies += press_all(fronts, 3, 6)
    lost = [x.name for x in fronts if x.events("links lost")]
    check(not lost, "%s", lost)
    check_runs(replicas, tallies)
