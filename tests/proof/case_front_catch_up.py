"""A daemon that was cut off from the store takes over the newest state when it
is back, at a cost that does not grow with what it missed."""
import base64
import json

from basics import case, check, wait
from case_front import serve
from platform_standins import Front, Proxy, Replica, configure, route

FILLER = [route("filler%d" % n, "safe") for n in range(300)]
REPORT_NOTE = "x" * 800  # makes a report as long as that of an engine


def size_on_wire(value):
    """Bytes of a row's value in a response of the store."""
    return len(base64.b64encode(json.dumps(value).encode()))


def knows(front, version, upstream):
    return any(x["version"] == version
               for x in front.events("configuration")) and any(
        x["id"] == upstream for x in front.events("upstream"))


def cut_off(store, proxies, upstreams, versions):
    """Cuts the daemons behind the proxies off from the store, while the
    operators write these versions and the upstreams report ever again."""
    for proxy in proxies:
        proxy.refuse = True
        proxy.reset()
    for version in versions:
        configure(store, version, FILLER + [route("safe", "safe")])
        for upstream in upstreams:
            for _ in range(2):
                upstream.register(sequence=version, note=REPORT_NOTE)


@case
def catch_up_after_start(world):
    """A configuration that is written right after a daemon has started takes
    effect there before any other daemon can tell of it."""
    store, _, front = serve(world, 1)
    wait("the first one follows the store", lambda: front.events("reader"))
    started = Front(world, store, "front-2")
    wait("it has read version 1", lambda: started.events("configuration"))
    configure(store, 2, [route("safe", "safe")])
    wait("version 2", lambda: any(
        x["version"] == 2 for x in started.events("configuration")))
    check(not started.events("behind another daemon") and
          not started.events("reader"), "it learned of version 2 from others")


@case
def catch_up_decodes_newest_only(world):
    """Of several configurations in one answer of the feed, a daemon takes over
    the newest; one that cannot be read doesn't hide the one before it."""
    store, _, front = serve(world, 1)
    wait("it follows the store", lambda: front.events("reader"))

    def versions():
        return [x["version"] for x in front.events("configuration")]
    with store.lock:  # the waiting feed sees all of them together
        for version in range(2, 8):
            configure(store, version, [route("safe", "safe")])
    wait("version 7", lambda: 7 in versions())
    with store.lock:
        configure(store, 8, [route("safe", "safe")])
        store.put("op", "config", b"no configuration")
    wait("version 8", lambda: 8 in versions())
    check(versions() == [1, 7, 8], "%s", versions())


@case
def catch_up_reads_no_history(world):
    """Two daemons, one of which follows the store, are cut off from it while
    the configuration and the reports change many times. Back again, each reads
    the newest configuration and the newest reports once, and not all those in
    between, which would fill a narrow link for seconds."""
    store, upstreams, _ = serve(world, 8)
    proxies = [Proxy(store.addr) for _ in range(2)]
    fronts = [Front(world, proxy, name).await_ready()
              for proxy, name in zip(proxies, ("front-2", "front-9"))]
    direct = Front(world, store, "front-3").await_ready()
    wait("front-2 reads and front-9 does not", lambda: [
        x.events("reader")[-1]["is"] if x.events("reader") else None
        for x in fronts] == [True, False])
    cut_off(store, proxies, upstreams, range(2, 22))
    wait("the others know", lambda: any(
        x["version"] == 21 for x in direct.events("configuration")))
    wait("front-9 asks the store", lambda: fronts[1].events("read failed"))
    wait("front-2 asks the store", lambda: fronts[0].events("read failed"))
    late = Replica(store, "i-late")
    before = [proxy.received for proxy in proxies]
    for proxy in proxies:
        proxy.heal()
    for front in fronts:
        wait("%s has caught up" % front.name,
             lambda: knows(front, 21, late.id))
    configuration = size_on_wire(store.value("op", "config"))
    reports = sum(size_on_wire(store.value("servers", x.id))
                  for x in upstreams + [late])
    for front, proxy, start in zip(fronts, proxies, before):
        received = proxy.received - start
        # each table twice: a call may have been sent before the change of the
        # last upstream; as much again for keys, heads and other tables
        check(received < 2 * 2 * (configuration + reports),
              "%s received %d bytes; the newest state has %d", front.name,
              received, configuration + reports)
