"""Entries that another writer leaves in the tables of bk-entry and bk-steward.
The daemons are restarted while the entries are there: they are ignored, and
the other entries are used.
"""
import contextlib
import json
import socket

from basics import case, check, request, wait
from case_front_foreign_entries import name_entries
from harness import Relay
from planner import await_rolled, set_versions, stewards

VALUES = ["", "{}", "text", "[]", '{"term": "x"}']
MAX_PUTS = 100  # in one transaction


def write_entries(world, table, names):
    puts = [{"t": table, "k": name, "d": VALUES[n % len(VALUES)]}
            for n, name in enumerate(names)]
    for start in range(0, len(puts), MAX_PUTS):
        status = request(world.platform.addr, "POST", "/v1/txn", json.dumps(
            {"checks": [], "puts": puts[start:start + MAX_PUTS],
             "dels": []}))[0]
        check(status == 200, "status %d", status)


def start(world):
    """Two models in force at two engines; returns the stewards."""
    for n in range(2):
        world.engine("engine-%d" % n, load_ms=50)
    set_versions(world, 1, ["care", "trace"], copies=1)
    world.roll()
    daemons = stewards(world)
    await_rolled(world)
    return daemons


def check_restart(world, daemons):
    """The stewards are killed at once and restarted: one of them becomes the
    planner and rolls the next version."""
    for daemon in daemons:
        daemon.kill()
    for daemon in daemons:
        world.restart(daemon)
    set_versions(world, 2, ["care", "trace"], copies=1)
    world.roll()
    await_rolled(world)


@case
def foreign_entries_in_the_ledger(world):
    """They fill several pages of 200."""
    daemons = start(world)
    write_entries(world, "ledger", name_entries(["!", "engine-0", "z"], 900))
    check_restart(world, daemons)


@case
def long_names_in_the_ledger(world):
    """A page has names of which only the last bytes differ."""
    daemons = start(world)
    write_entries(world, "ledger", name_entries(["!" + "k" * 900], 900))
    check_restart(world, daemons)


@case
def foreign_entries_in_the_planner_table(world):
    """The planner's rows are not on the first page of their table."""
    daemons = start(world)
    write_entries(world, "planner", name_entries(["!", "c", "q"], 600))
    check_restart(world, daemons)


@case
def foreign_entries_among_the_drains(world):
    """An upstream whose drain is not on the first page gets no work."""
    for n in range(2):
        world.engine("engine-%d" % n, load_ms=50)
    write_entries(world, "drain", name_entries(["!", "z"], 1300))
    set_versions(world, 1, ["care"])
    caller = world.caller()
    world.roll()
    world.ctl("drain", "engine-0", "--why", "proof")
    stewards(world)
    entry = world.entry()
    await_rolled(world)
    world.await_ready(entry)
    wait("the copy is known", lambda: entry.can_use("engine-1", ["care@1"]))
    wait("engine-0 is not", lambda: not entry.can_use("engine-0"), 5)
    check(caller.complete(entry, "care", "x", 1).outcome == "done",
          "not served")
    check(not world.fakes[0].journal("run"), "engine-0 got work")


def check_drain_is_shown(world, count):
    """bkctl status shows a drain among so many entries."""
    world.engine("engine-0", load_ms=50)
    world.model("care")
    world.roll()
    write_entries(world, "drain", name_entries(["!"], count))
    world.ctl("drain", "engine-0", "--why", "belt swap")
    entry = world.entry()
    world.await_ready(entry)
    shown = world.ctl("status")
    check("belt swap" in shown, "%s", shown)


@case
def foreign_entries_in_status(world):
    """Entries that cannot be decoded do not hide the others."""
    check_drain_is_shown(world, 10)


@case
def foreign_entries_in_status_fill_pages(world):
    """Nor do those that fill the first pages."""
    check_drain_is_shown(world, 1300)


@case
def foreign_entries_in_the_audit(world):
    """Before, among and behind the entries of operators."""
    world.engine("engine-0", load_ms=50)
    world.model("care")
    world.roll()
    write_entries(world, "audit", name_entries(
        ["!", "z", *["%016x" % n for n in range(1, 6)]], 1300))
    reasons = ["reason %d" % n for n in range(4)]
    for n, reason in enumerate(reasons):
        world.ctl("undrain" if n % 2 else "drain", "engine-0", "--why", reason)
    shown = world.ctl("log", "--last", "3")
    check([x for x in reasons if x in shown] == reasons[1:], "%s", shown)


class RenamingRelay(Relay):
    """Changes a name in what comes from its target."""

    old, new = b"RENAME", b"\\u0000"  # of the same length

    def pump(self, remaining, direction, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data.replace(self.old, self.new))
        for side in (source, sink):
            with contextlib.suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)


@case
def unreadable_names_among_the_vms(world):
    """The VM of an engine is leaving; the name of another one holds NUL."""
    for n in range(2):
        world.engine("engine-%d" % n).load("care")
    world.model("care")
    world.roll()
    relay = RenamingRelay(world.platform.addr)
    entry = world.entry(platform_address=relay.addr)
    world.await_ready(entry)
    wait("both are used", lambda: all(
        entry.can_use("engine-%d" % n) for n in range(2)))
    world.platform.set(vms={"RENAME": "live", "engine-0": "leaving"})
    wait("engine-0 is not", lambda: not entry.can_use("engine-0"), 5)
    check(entry.can_use("engine-1"), "engine-1 is not used either")
