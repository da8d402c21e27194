"""Entries that another writer leaves in the lists of the store. All daemons are
killed and restarted while the entries are there: they are ignored, and the
other entries are used.
"""
import itertools
import time

from basics import case, check, wait
from case_front_crashes import Fleet, Load, ask_with_parts, bad_parts, \
    holds_bad_part, start as start_crashing
from case_front_return import MODELS, RECOVER_S, SOUND_PARTS, ask_stream, \
    await_contact, check_served, configure_engines
from case_front_state import log_seconds
from platform_standins import Replica, Store

FRONTS = 8
ENGINES = 9
LONG_LIST = 1300  # entries; the store returns pages of 500
PAUSE_S = 0.1
# reserved in URLs, or not allowed there
SUFFIXES = ["&", "+", "#", "%", " ", "=", "?", "/", "%41", '"', "'", "\\", ";",
            "\u00e4", "\U0001f600", "&from=zz", "&limit=1", "\r\n", "\t",
            "a & b+c#d%e"]
UPSTREAM = {"service": "llm", "address": "127.0.0.1:9", "zone": "a",
            "slots": 4, "state": "ready", "sequence": 1}
FOREIGN_VALUES = [
    b"", b"{}", b"text", b"[]", b"null", {"state": "ready"},
    {**UPSTREAM, "service": "none"}, {**UPSTREAM, "service": 7},
    {**UPSTREAM, "address": ""}, {**UPSTREAM, "address": []},
    {**UPSTREAM, "slots": "many"}, {**UPSTREAM, "state": "unknown"}]


def write_entries(store, table, names):
    for name, value in zip(names, itertools.cycle(FOREIGN_VALUES)):
        store.put(table, name, value)


def name_entries(prefixes, count, suffixes=SUFFIXES):
    return ["%s%04d%s" % (prefix, n, suffix) for n, prefix, suffix in
            zip(range(count), itertools.cycle(prefixes),
                itertools.cycle(suffixes))]


def start(world):
    """Returns the store, the engines, and the fleet once its daemons know each
    other."""
    store = Store()
    configure_engines(store, loadsPerS=10)
    engines = [Replica(store, "e-%d" % n, "llm", 64,
                       models={MODELS[n % 3]: set(),
                               MODELS[(n + 1) % 3]: set()})
               for n in range(ENGINES)]
    fleet = Fleet(world, store, FRONTS)
    await_contact(fleet)
    return store, engines, fleet


def restart_all(fleet):
    """All daemons are killed at once and restarted; returns the time."""
    for n in range(FRONTS):
        fleet.kill(n)
    killed_at = time.time()
    for n in range(FRONTS):
        fleet.add(n)
    return killed_at


def events_since(front, name, since):
    """Those of the process that was started then; the log has earlier ones."""
    return [x for x in front.events(name) if log_seconds(x["at"]) >= since]


def check_restart(fleet):
    """Requests are served in time after all daemons were restarted."""
    restart_all(fleet)
    back = time.monotonic()
    loads = [Load(fleet, ask_stream(model, SOUND_PARTS), PAUSE_S)
             for model in MODELS]
    check_served(fleet, loads, back, RECOVER_S)


def check_entries(world, prefixes, count, page=500, suffixes=SUFFIXES):
    store, _, fleet = start(world)
    store.list_rows = page
    write_entries(store, "servers", name_entries(prefixes, count, suffixes))
    check_restart(fleet)


@case
def foreign_entries_first(world):
    """The first page holds nothing else."""
    check_entries(world, ["!"], LONG_LIST)


@case
def foreign_entries_interleaved(world):
    """They are on every page."""
    check_entries(world, ["e-%d" % n for n in range(ENGINES)], LONG_LIST)


@case
def foreign_entries_last(world):
    """They follow all others."""
    check_entries(world, ["z"], LONG_LIST)


@case
def foreign_entries_in_small_pages(world):
    """Each entry ends a page."""
    check_entries(world, ["!", *["e-%d" % n for n in range(ENGINES)], "z"], 60,
                  page=2)


@case
def names_with_nul(world):
    """Whole pages hold no name that a JSON library returns."""
    check_entries(world, ["!", "e-0"], LONG_LIST, suffixes=["\x00", "\x00x"])


@case
def names_with_lone_surrogates(world):
    """Nor one that a URL can hold."""
    check_entries(world, ["!", "e-0"], LONG_LIST,
                  suffixes=["\ud800", "\udfff", "\udc80x"])


@case
def unreadable_names_in_small_pages(world):
    """Each of them ends a page."""
    check_entries(world, ["!", *["e-%d" % n for n in range(ENGINES)], "z"], 60,
                  page=2, suffixes=["\x00", "\ud800", "\ufdd0\ud800"])


@case
def foreign_entries_before_the_configuration(world):
    """The configuration is not on the first page of its table."""
    store, _, fleet = start(world)
    write_entries(store, "op", name_entries(["!", "d"], 2 * LONG_LIST))
    check_restart(fleet)


def check_own_table(world, table, prefixes):
    """The engines restart too, without models."""
    store, engines, fleet = start(world)
    write_entries(store, table, name_entries(prefixes, LONG_LIST))
    for engine in engines:
        engine.crash()
        engine.start_again()
    check_restart(fleet)


@case
def foreign_entries_before_the_lease(world):
    """The planner's rows are not on the first page of their table."""
    check_own_table(world, "planner", ["!"])


@case
def foreign_entries_between_rows_of_the_lease(world):
    """The planner's two rows are on different pages."""
    check_own_table(world, "planner", ["c"])


@case
def foreign_entries_before_the_verdicts(world):
    """The rows of verdicts are not on the first page of their table."""
    _, fleet = start_crashing(world, FRONTS, holds_bad_part)
    bad = Load(fleet, ask_with_parts(bad_parts), PAUSE_S)
    wait("a verdict", lambda: fleet.events("verdict"))
    wait("its row", lambda: any(
        table == "quarantine" for table, _ in list(fleet.store.rows)))
    bad.stop()
    write_entries(fleet.store, "quarantine", name_entries(["!"], LONG_LIST))
    restart_all(fleet)
    wait("all have read the verdict", lambda: all(any(
        x["source"] == "the store" for x in front.events("verdict"))
        for front in fleet.fronts), RECOVER_S)


@case
def foreign_entries_before_the_members(world):
    """Daemons that return know each other by rows on later pages."""
    store, _, fleet = start(world)
    write_entries(store, "members", name_entries(["!"], LONG_LIST))
    restarted_at = restart_all(fleet)
    wait("the daemons hear each other", lambda: all(
        len({x["name"] for x in events_since(front, "peer heard",
                                             restarted_at)}) == FRONTS - 1
        for front in fleet.fronts), RECOVER_S)


@case
def foreign_entries_are_no_members(world):
    """Daemons share limits among those that there are."""
    store, _, fleet = start(world)
    names = name_entries(["!", "front-0", "z"], 60)
    write_entries(store, "members", names)
    for name in names[::2]:
        store.put("members", name, (name + " a").encode())
    restarted_at = restart_all(fleet)
    listed = [wait("%s has listed the members" % front.name,
                   lambda front=front: events_since(
                       front, "members listed", restarted_at), RECOVER_S)
              for front in fleet.fronts]
    check([x[0]["daemons"] for x in listed] == [FRONTS] * FRONTS, "%s",
          [x[0]["daemons"] for x in listed])
