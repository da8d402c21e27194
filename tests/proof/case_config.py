"""An accepted configuration is in force everywhere and never reverts."""
import json
import os
import re
import threading

from basics import POLL_S, case, check, request, together, wait
from harness import Relay
from judges import accepted_rolls

CUT_OFF = "2s"  # cut_off_after of the daemons here
AFTER_CUT_OFF_S = 2.5
GOSSIP_ROUNDS_S = 1


def serve(world, entries=3, **settings):
    """Entries that act on version 1, which knows the caller "old"."""
    world.engine("engine-1")
    world.model("care")
    world.caller("old")
    settings.setdefault("daemon_cut_off_after", CUT_OFF)
    world.roll()
    doors = [world.entry("entry-%d" % i, **settings) for i in range(entries)]
    world.await_ready()
    return doors


def replace_caller(world, token):
    """The next bundle knows this caller only."""
    world.callers = []
    world.caller(token)


def knows(door, token):
    """Whether the entry takes the caller, which tells what it acts on; None
    if it does not answer, or not to anybody."""
    try:
        status = request(door.addr, "GET", "/v1/models",
                         headers={"Authorization": "Bearer " + token})[0]
    except OSError:
        return None
    return {200: True, 401: False}.get(status)


def await_known(doors, token):
    for door in doors:
        wait("%s knows %s" % (door.name, token),
             lambda door=door: knows(door, token))


class Watch:
    """Looks all the time whether an entry takes a caller that it must not."""

    def __init__(self, doors, token):
        self.doors, self.token, self.seen = doors, token, []
        self.looks, self.over = 0, threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.over.wait(POLL_S):
            for door in list(self.doors):
                self.looks += 1
                if knows(door, self.token):
                    self.seen.append(door.name)

    def end(self):
        self.over.set()
        self.thread.join()
        check(self.looks > 0, "nobody looked")
        check(not self.seen, "%s went back to a replaced configuration",
              sorted(set(self.seen)))


@case
def config_platform_out_after_acceptance(world):
    """The platform goes out right behind the commit, and the news reaches
    one daemon only: the others get it, text and all, from peers."""
    doors = serve(world, platform_poll_bundle="1min")
    teller = world.rng.choice(doors)
    everybody, world.daemons = world.daemons, [teller]
    replace_caller(world, "new")
    world.roll()
    world.platform.set(outage=True)
    world.daemons = everybody
    await_known(doors, "new")
    check(not any(knows(door, "old") for door in doors),
          "version 1 is still acted upon")


@case
def config_news_lost(world):
    """No daemon hears from bkctl: the poll of the row finds the version."""
    doors = serve(world)
    everybody, world.daemons = world.daemons, []
    replace_caller(world, "new")
    world.roll()
    world.daemons = everybody
    await_known(doors, "new")


@case
def config_restart_during_outage(world):
    """A daemon that starts during an outage learns the version from peers,
    and acts on no other one."""
    doors = serve(world)
    replace_caller(world, "new")
    world.roll()
    await_known(doors, "new")
    world.platform.set(outage=True)
    watch = Watch(doors, "old")
    for door in world.rng.sample(doors, 2):
        door.kill()
        again = world.restart(door)
        doors[doors.index(door)] = again
        world.await_ready(again)
        await_known([again], "new")
    watch.end()


@case
def config_cut_on_one_side(world):
    """One daemon reaches no peer, another one never the platform, and bkctl
    tells neither: each learns the version on the side that it has left."""
    doors = serve(world, entries=2)
    wall = Relay(world.platform.addr)
    wall.cut(b"", up=0, times=1 << 30)
    walled = world.entry("entry-walled", platform_address=wall.addr)
    lonely = world.entry("entry-lonely", daemon_peers="")
    world.await_ready(lonely, walled)
    everybody, world.daemons = world.daemons, doors
    for token in ("new", "newer"):
        replace_caller(world, token)
        world.roll()
        await_known([*doors, lonely, walled], token)
    world.daemons = everybody
    check(wall.cuts > 0, "the platform was not cut off")
    check(not lonely.status()["peers"], "the lonely one has peers")


@case
def config_late_push(world):
    """News of an older roll that arrives late, or of no roll at all,
    changes nothing: versions only rise, and a signature is over its text."""
    doors = serve(world)
    held = json.loads(request(doors[0].ops, "GET", "/peer/in-force")[2])
    with open(os.path.join(world.dir, "bundle.ini")) as file:
        held["text"] = file.read()
    replace_caller(world, "new")
    world.roll()
    await_known(doors, "new")
    other = {**held, "version": 3, "text": held["text"] + "# other\n"}
    forged = {**held, "version": 3, "signature": "0" * 128}
    watch = Watch(doors, "old")
    for door in doors:
        for news in (held, other, forged, {"version": 4}):
            request(door.ops, "POST", "/peer/in-force", json.dumps(news))
    threading.Event().wait(GOSSIP_ROUNDS_S)
    for door in doors:
        check(door.status()["acting"] == 2, "%s took old news", door.name)
    watch.end()


@case
def config_stale_peer(world):
    """A peer that stays behind, since it does not know the new signer,
    brings nobody back: not those who act on the new version, and not one
    that starts while the platform is out and finds the stale peer first."""
    settings = {"daemon_cut_off_after": "20s"}
    first = world.signer
    second = world.ctl("key", "new", "key-2", config=False).split()[-1]
    world.signer = first + " " + second
    starter, other = serve(world, entries=2, **settings)
    stale = world.entry("entry-stale", daemon_signers=first, **settings)
    world.await_ready(stale)
    os.replace(os.path.join(world.dir, "key-2"),
               os.path.join(world.dir, "key"))
    replace_caller(world, "new")
    world.roll()
    await_known([starter, other], "new")
    wait("the stale peer hears", lambda: stale.status()["highest"] == 2)
    check(knows(stale, "old"), "the stale peer does not serve its part")
    world.platform.set(outage=True)
    watch = Watch([starter, other], "old")
    other.freeze()
    starter.kill()
    starter = watch.doors[0] = world.restart(starter)
    wait("the start", starter.status)
    threading.Event().wait(GOSSIP_ROUNDS_S)
    check(not starter.ready(), "ready on the word of a stale peer")
    other.thaw()
    world.await_ready(starter)
    await_known([starter, other], "new")
    watch.end()


@case
def config_only_a_stale_peer(world):
    """A daemon that starts during an outage and finds only a peer that has
    heard of the next version but holds no text of it: the peer does not
    vouch for the old one, so the daemon acts on nothing, and on what is in
    force once the platform is back."""
    doors = serve(world)
    sleeper, starter, other = world.rng.sample(doors, 3)
    sleeper.freeze()
    everybody, world.daemons = world.daemons, [starter, other]
    replace_caller(world, "new")
    world.roll()
    world.daemons = everybody
    await_known([starter, other], "new")
    # what they tell of it waits in the sleeper's socket
    threading.Event().wait(AFTER_CUT_OFF_S)
    world.platform.set(outage=True)
    other.kill()
    starter.kill()
    starter = world.restart(starter)
    watch = Watch([starter], "old")
    sleeper.thaw()
    wait("the start", starter.status)
    threading.Event().wait(AFTER_CUT_OFF_S)
    check(not starter.ready(), "ready, but cannot know what is in force")
    world.platform.set(outage=False)
    world.await_ready(sleeper, starter)
    await_known([sleeper, starter], "new")
    watch.end()


@case
def config_text_late(world):
    """The text cannot be had for a while: who knows only of the new version
    tells peers nothing that contradicts what they hold, and all act on it
    once the text is there."""
    doors = serve(world, entries=1)
    doors.append(world.entry("entry-slow", platform_poll_bundle="1min",
                             daemon_cut_off_after=CUT_OFF))
    world.await_ready(*doors)
    everybody, world.daemons = world.daemons, []
    replace_caller(world, "new")
    # bkctl reads the old text and puts the new one
    world.platform.faults({"on": "object", "do": "drop", "skip": 2})
    world.roll()
    world.daemons = everybody
    wait("the news", lambda: doors[0].status()["highest"] == 2)
    threading.Event().wait(GOSSIP_ROUNDS_S)
    for door in doors:
        with open(door.log.name) as log:
            check("two digests" not in log.read(),
                  "%s took the new digest for one of version 1", door.name)
    world.platform.faults()
    await_known(doors, "new")


class Operator:
    """Somebody who rolls a bundle of her own with bkctl."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.bundle = name + ".ini"
        self.replaces, self.said = None, []

    def prepare(self, replaces):
        """Writes and signs; the text differs from everybody else's."""
        self.replaces = replaces
        world = self.world
        world.write(self.bundle, [("bundle", {
            "name": "proof", "note": "%s on %d" % (self.name, replaces)})] +
            world.upstreams + world.items + world.callers)
        world.ctl("bundle", "sign", self.bundle, "--key", "key", config=False)

    def roll(self, config):
        """The command, as long as its outcome is unknown."""
        def ask():
            said = self.world.ctl(
                "--config", config, "--json", "bundle", "roll", self.bundle,
                "--replaces", str(self.replaces), "--why", "shift",
                "--by", self.name, config=False, fails=True)
            said = json.loads(said.splitlines()[-1])
            name = said.get("error", {}).get("name")
            return None if name in ("EUNKNOWN", "EPLATFORM") else said

        said = wait(self.name + " learns the outcome", ask)
        check("accepted" in said or said["error"]["name"] == "ECONFLICT",
              "%s: %s", self.name, said)
        self.said.append((self.replaces + 1, "accepted" in said))


def lose_some(world):
    """Answers of commits are lost, commits refused, reads dropped."""
    rng = world.rng
    world.platform.faults(
        {"on": "txn", "do": "lose-answer", "match": "in-force",
         "skip": rng.randrange(3), "times": rng.randrange(1, 3)},
        {"on": "txn", "do": "refuse", "match": "in-force",
         "skip": rng.randrange(5), "times": 1},
        {"on": "row", "do": "drop", "skip": rng.randrange(4, 40),
         "times": rng.randrange(20)},
        {"on": "object", "do": "delay", "ms": rng.randrange(300),
         "times": rng.randrange(3)})


@case
def config_racing_operators(world):
    """Two shifts race across a handover while answers are lost: exactly one
    roll replaces each version, and everybody learns the truth."""
    doors = serve(world)
    config = world.write("race.ini", [("ctl", {
        "platform": world.platform.addr, "platform_timeout": "2s",
        "patience": "1s", "signers": world.signer, "by": "nobody",
        "daemons": " ".join(door.ops for door in doors)})])
    operators = [Operator(world, name) for name in ("ana", "bo", "cem")]
    for replaces in range(1, 5):
        for operator in operators:
            operator.prepare(replaces)
        lose_some(world)
        together(*(lambda operator=operator: operator.roll(config)
                   for operator in operators))
        world.platform.faults()
    rolls = accepted_rolls(world)
    check(len(rolls) == 5, "%d versions after four rounds", len(rolls) - 1)
    for operator in operators:
        for version, accepted in operator.said:
            check(accepted == (rolls[version - 1][2] == operator.name),
                  "%s was told %s of version %d, which is %s's", operator.name,
                  accepted, version, rolls[version - 1][2])
    for door in doors:
        wait(door.name + " acts on the last one",
             lambda door=door: door.status().get("acting") == 5)
        held = json.loads(request(door.ops, "GET", "/peer/in-force")[2])
        check(held["digest"] == rolls[-1][1], "%s acts on another text",
              door.name)


@case
def config_lost_acceptance(world):
    """The answer of the commit is lost and the platform silent: "outcome
    unknown", no matter how often it is asked; the same command tells the
    truth later, also behind somebody else's roll."""
    doors = serve(world)
    replace_caller(world, "new")
    # reads of the daemons would take the places of bkctl's
    for door in doors:
        door.freeze()
    world.platform.faults(
        {"on": "txn", "do": "lose-answer", "match": "in-force", "times": 1},
        {"on": "txn", "do": "drop", "skip": 1, "times": 10000},
        {"on": "row", "do": "drop", "skip": 2, "times": 10000})
    operator = Operator(world, "ana")
    operator.prepare(1)
    config = world.write("lost.ini", [("ctl", {
        "platform": world.platform.addr, "platform_timeout": "2s",
        "patience": "500ms", "signers": world.signer, "by": "ana"})])
    words = ("--config", config, "bundle", "roll", operator.bundle,
             "--replaces", "1", "--why", "x")
    said = world.ctl(*words, config=False, fails=True)
    check("outcome unknown" in said, "said of a lost answer: %s", said)
    said = world.ctl(*words, config=False, fails=True)
    check("not known" in said, "said while it cannot know: %s", said)
    world.platform.faults()
    for door in doors:
        door.thaw()
    await_known(doors, "new")
    if world.rng.random() < 0.5:
        world.version = 2
        world.roll("somebody else's")
    said = world.ctl(*words, config=False)
    check(re.search("accepted before.* version 2", said), "said: %s", said)
    check(accepted_rolls(world)[1][2] == "ana", "version 2 is not ana's")
