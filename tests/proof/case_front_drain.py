"""Upstreams that leave get no further requests, whatever a daemon missed."""
from basics import case, wait
from case_front import serve
from platform_standins import Front, Proxy, Replica

LARGE_NOTE = "x" * 1500  # makes a report too large for a message
LEARN_TIMEOUT_S = 10


def unusable(front):
    """The upstreams that the daemon knows to be leaving or gone."""
    return {x["id"] for x in front.events("upstream")
            if x["is"] in ("leaving", "gone")}


def refuse_one(world):
    """Starts daemons, two of which read the store, and has the store refuse one
    of the others."""
    store, upstreams, _ = serve(world, 4)
    readers = [Front(world, store, "front-%d" % n).await_ready()
               for n in (2, 3)]
    proxy = Proxy(store.addr)
    late = Front(world, proxy, "front-9").await_ready()
    wait("front-9 is no reader", lambda: late.events("reader") and
         not late.events("reader")[-1]["is"])
    proxy.refuse = True
    proxy.reset()
    return store, upstreams, readers, late


@case
def drain_behind_and_refused_by_store(world):
    """A daemon that has missed a change, and that the store refuses while it
    answers the others, still learns of later changes from the others."""
    store, upstreams, readers, late = refuse_one(world)
    Replica(store, "i-large").register(note=LARGE_NOTE)
    wait("front-9 asks the store", lambda: late.events("read failed"))
    upstreams[0].register(state="draining", sequence=2)
    store.put("servers", upstreams[1].id, None)
    wait("the readers know",
         lambda: all(unusable(x) >= {"i-0", "i-1"} for x in readers))
    wait("front-9 knows", lambda: unusable(late) >= {"i-0", "i-1"},
         LEARN_TIMEOUT_S)


@case
def drain_missed_and_refused_by_store(world):
    """A daemon that the store refuses, and that no message of the readers tells
    of a removal, learns of it from what the others say."""
    store, upstreams, readers, late = refuse_one(world)
    with store.lock:  # in one answer: the readers tell only that there is one
        Replica(store, "i-large").register(note=LARGE_NOTE)
        store.put("servers", upstreams[1].id, None)
    wait("the readers know", lambda: all(
        "i-1" in unusable(x) for x in readers))
    wait("front-9 knows", lambda: "i-1" in unusable(late), LEARN_TIMEOUT_S)
