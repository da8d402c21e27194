"""A loss of links breaks off what runs at many upstreams, and none of them has
crashed: no request is refused for it."""
import itertools
import random
import threading
import time

from basics import case, check
from case_front_limit import hear_each_other
from links import linked_front
from platform_standins import Caller, Replica, Store, configure, route, sealed

UPSTREAMS, CALLERS = 6, 6
RUN_S = 0.1
BACK_S = 2      # after the links are back, until first tries are served
MIN_SHARE = 0.95
PARTS = 5       # of which each prompt has one
NUMBERS = itertools.count(1)
REFUSED = "such requests crash upstreams"


def answer_slowly(req, sock):
    time.sleep(RUN_S)
    sock.sendall(sealed(req))
    return True


class Callers:
    """Callers at all fronts, each request on a connection of its own."""

    def __init__(self, fronts, rng):
        self.tallies, self.ended = [], threading.Event()
        self.threads = [threading.Thread(
            target=self.press, args=(front, random.Random(rng.random())))
            for front in fronts for _ in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def press(self, front, rng):
        while not self.ended.is_set():
            begun = time.monotonic()
            prefix = "f1:100,a%d:50,%x:10" % (rng.randrange(PARTS),
                                              next(NUMBERS) + 0x10000)
            caller = Caller(front)
            code = caller.ask("/flow/", b"", X_Deadline_Ms="3000",
                              X_Prompt_Prefix=prefix)[0]
            caller.close()
            self.tallies.append((begun, code))
            time.sleep(0.02)

    def end(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def share_served(self, since):
        codes = [code for begun, code in self.tallies if begun >= since]
        return sum(code == 200 for code in codes) / max(1, len(codes))


def lose_links(world, how, gap_s, cut_s):
    """gap_s: between the daemons' losses."""
    rng = random.Random(world.seed)
    store = Store()
    configure(store, 1, [route("flow", "streaming", maxAttempts=1)])
    replicas = [Replica(store, "i-%d" % n, slots=50)
                for n in range(UPSTREAMS)]
    for replica in replicas:
        replica.handlers = [answer_slowly]
    fronts = [linked_front(world, store, "f-%d" % n) for n in range(3)]
    for front in fronts:
        front.await_ready()
    hear_each_other(fronts)
    callers = Callers(fronts, rng)
    time.sleep(0.5)
    for front in fronts:
        front.links.cut(how)
        time.sleep(gap_s * rng.uniform(0.5, 1.5))
    time.sleep(cut_s * rng.uniform(0.7, 1.3))
    for front in fronts:
        front.links.restore()
    back = time.monotonic()
    time.sleep(BACK_S + 1.5)
    callers.end()
    refused = [x for front in fronts for x in front.events("answered")
               if x["why"] == REFUSED]
    check(not refused, "%d requests were refused: %s", len(refused), REFUSED)
    verdicts = [x for front in fronts for x in front.events("verdict")]
    check(not verdicts, "%d verdicts", len(verdicts))
    share = callers.share_served(back + BACK_S)
    check(share >= MIN_SHARE, "%.2f served after the links were back", share)


@case
def links_reset_at_all(world):
    """All daemons lose all links in the same moment."""
    lose_links(world, "reset", 0, 2)


@case
def links_reset_when_used(world):
    """The same, and each connection is reset when it is used next."""
    lose_links(world, "use", 0, 2)


@case
def links_reset_when_used_in_turn(world):
    lose_links(world, "use", 0.25, 2)


@case
def links_reset_in_turn(world):
    """One daemon after the other."""
    lose_links(world, "reset", 0.25, 2)


@case
def links_reset_for_a_moment(world):
    """New connections work again before it is clear whether upstreams have
    crashed."""
    lose_links(world, "reset", 0.15, 0.2)


@case
def links_hang_at_all(world):
    """What is sent is lost, and new connections get no answer."""
    lose_links(world, "hang", 0, 3)


@case
def links_refuse_at_all(world):
    """Open connections go on, and new ones are refused."""
    lose_links(world, "live", 0, 1)
