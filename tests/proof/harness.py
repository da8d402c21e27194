"""The system that a case tests: real daemons, stand-ins, relays, faults.

A case is a function that takes a World. It causes faults, and checks the
journals of the stand-ins and the answers that callers received. A wait ends
when a state is observed; its timeout is generous and says nothing about how
fast the system must be.
"""
import contextlib
import fcntl
import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import textwrap
import threading

from basics import TIMEOUT_S, Recorded, check, request, wait
from callers import Caller

PORT_RANGE = (10000, 32000)  # below the ephemeral ports of the kernel
PORT_BLOCK_SIZE = 64
JOURNAL_TIMEOUT_S = 2  # for a stand-in that may stand still


def reserve_port_block(locks=[], count=(PORT_RANGE[1] - PORT_RANGE[0]) //
                       PORT_BLOCK_SIZE):
    """Reserves a block of ports for the life of this process, by a file lock
    that other runs respect: a daemon that was killed finds its ports free when
    it is started again."""
    for n in range(count):
        first = PORT_RANGE[0] + (os.getpid() + n) % count * PORT_BLOCK_SIZE
        lock = open(os.path.join(tempfile.gettempdir(),
                                 "bk-proof-ports-%d" % first), "a")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        locks.append(lock)
        return list(range(first, first + PORT_BLOCK_SIZE))
    raise RuntimeError("all port blocks are reserved")


def next_port(ports=[], lock=threading.Lock()):
    """A reserved port that is free for both TCP and UDP."""
    while True:
        with lock:
            if not ports:
                ports.extend(reserve_port_block())
            port = ports.pop(0)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


class Program(Recorded):
    """A process that a case starts; it is killed at the end of the case."""

    def __init__(self, world, name, argv, reports_addr=False):
        self.world, self.name = world, name
        self.log = open(os.path.join(world.dir, name + ".log"), "ab")
        # the kernel kills the program when this process dies
        self.process = subprocess.Popen(
            ["setpriv", "--pdeathsig", "KILL"] + argv, cwd=world.dir,
            stdout=subprocess.PIPE if reports_addr else self.log,
            stderr=self.log)
        self.addr = None
        if reports_addr:
            line = self.process.stdout.readline().decode().split()
            check(len(line) == 2, "%s did not start", name)
            self.addr = line[1]
        world.programs.append(self)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self):
        """Stops it with SIGTERM; returns the exit status."""
        self.signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)

    def freeze(self):
        """Returns once it has stopped: on a busy machine it may run on for a
        while after the signal."""
        self.signal(signal.SIGSTOP)
        wait(self.name + " stopped", self.is_stopped)

    def is_stopped(self):
        with open("/proc/%d/stat" % self.process.pid) as stat:
            return stat.read().rsplit(")", 1)[1].split()[0] in "TZX"

    def thaw(self):
        self.signal(signal.SIGCONT)


class Fake(Program):
    """A stand-in of tests/fakes, with faults and a journal."""

    def __init__(self, world, name, program, *options):
        super().__init__(world, name, [
            os.path.join(world.build, "tests/fakes", program),
            "--listen", "127.0.0.1:0", *map(str, options)], reports_addr=True)
        self.last_journal = []

    def control(self, path, value):
        request(self.addr, "POST", "/ctl/" + path, json.dumps(value))

    def set_faults(self, *faults):
        self.control("faults", faults)

    def set(self, **values):
        self.control("set", values)

    def journal(self, kind=None, timeout=TIMEOUT_S):
        """The journal's lines, of this kind if given. Once the process has
        ended, they are those that were read last."""
        if self.process.poll() is None:
            body = request(self.addr, "GET", "/ctl/journal",
                           timeout=timeout)[2]
            self.last_journal = [json.loads(x) for x in body.splitlines()]
        return [x for x in self.last_journal if kind in (None, x["ev"])]

    def kill(self):
        self.journal()
        super().kill()

    def load(self, model, version="1", size=1 << 30, fence=0):
        """Loads an instance without a steward; waits until it is ready."""
        name = "%s@%s#%s" % (model, version, self.name)
        request(self.addr, "POST", "/admin/load", json.dumps({
            "instance": name, "model": model, "version": version,
            "bytes": size, "fence": fence}))
        wait(name + " ready", lambda: any(
            x["instance"] == name for x in self.journal("ready")))


class Daemon(Program):
    """bk-entry or bk-steward."""

    def __init__(self, world, name, program, settings, addr, ops):
        super().__init__(world, name, [os.path.join(world.build, program),
                                       "--config", settings])
        self.addr, self.ops = addr, ops

    def status(self):
        try:
            return json.loads(request(self.ops, "GET", "/ops/status")[2])
        except (OSError, ValueError, http.client.HTTPException):
            return {}

    def ready(self):
        return bool(self.status().get("ready"))

    def can_use(self, upstream, instances=()):
        """Whether the daemon may use the upstream, and knows these instances
        to be ready there."""
        for row in self.status().get("upstreams", ()):
            if row["name"] == upstream:
                return row["usable"] and set(instances) <= set(row["ready"])
        return False


class Relay(Recorded):
    """A TCP relay in front of an upstream; it can cut exchanges at any byte.

    After cut(), for the next `times` requests that begin with prefix, it
    passes on `up` bytes to the upstream and `down` bytes back (None: all),
    and then closes both sides of the connection.
    """

    def __init__(self, target):
        self.target, self.pending_cut, self.cuts = target, None, 0
        self.request_heads = []  # the first bytes of each request, in order
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self, prefix, up=None, down=None, times=1):
        self.pending_cut = [prefix, up, down, times]

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            host, port = self.target.split(":")
            try:
                server = socket.create_connection((host, int(port)))
            except OSError:
                client.close()
                continue
            remaining = {"up": None, "down": None}
            for direction, source, sink in (("up", client, server),
                                            ("down", server, client)):
                threading.Thread(
                    target=self.pump, daemon=True,
                    args=(remaining, direction, source, sink)).start()

    def apply_cut(self, remaining, data):
        if data.startswith((b"GET ", b"POST ", b"DELETE ")):
            # limits of the previous exchange
            remaining["up"] = remaining["down"] = None
        with self.lock:
            self.request_heads.append(data[:16])
            if self.pending_cut and self.pending_cut[3] > 0 and \
                    data.startswith(self.pending_cut[0]):
                self.pending_cut[3] -= 1
                remaining["up"], remaining["down"] = self.pending_cut[1:3]

    def pump(self, remaining, direction, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if direction == "up":
                    self.apply_cut(remaining, data)
                if remaining[direction] is None:
                    sink.sendall(data)
                    continue
                sink.sendall(data[:remaining[direction]])
                remaining[direction] -= len(data)
                if remaining[direction] <= 0:
                    self.cuts += 1
                    break
        for side in (source, sink):
            with contextlib.suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)


class World(Recorded):
    """A small system: platform, upstreams, daemons, and an operator."""

    def __init__(self, build, seed):
        self.build, self.seed = os.path.abspath(build), seed
        self.rng = random.Random(seed)
        self.dir = tempfile.mkdtemp(prefix="bk-proof-")
        self.programs, self.daemons, self.relays = [], [], []
        self.fakes, self.upstreams, self.items = [], [], []
        self.callers, self.version = [], 0
        self.platform = Fake(self, "platform", "fake-platform")
        self.secret = hashlib.sha256(b"proof").hexdigest()
        self.signer = self.ctl("key", "new", "key", config=False).split()[-1]

    def close(self, keep):
        for program in self.programs:
            if program.process.poll() is None:
                program.process.kill()
        for program in self.programs:
            program.process.wait()
            program.log.close()
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)

    def read_journals(self):
        """Reads the journals of the stand-ins that still answer."""
        for fake in self.programs:
            if isinstance(fake, Fake):
                try:
                    fake.journal(timeout=JOURNAL_TIMEOUT_S)
                except (OSError, ValueError,
                        http.client.HTTPException) as error:
                    fake.journal_error = repr(error)  # kept with the rest

    def write(self, name, sections):
        """An INI file of (section, {key: value}) pairs; returns its path."""
        path = os.path.join(self.dir, name)
        with open(path, "w") as file:
            for section, keys in sections:
                file.write("[%s]\n" % section)
                for key, value in keys.items():
                    # a long list is continued on indented lines
                    words = "\n    ".join(textwrap.wrap(str(value), 150))
                    file.write("%s = %s\n" % (key, words))
        return path

    def ctl(self, *words, config=True, fails=False):
        """Runs bkctl; returns what it printed. config: add the option with the
        settings file; fails: allow an exit status other than 0."""
        argv = [os.path.join(self.build, "src/ctl/bkctl")]
        if config:
            ops = " ".join(daemon.ops for daemon in self.daemons)
            argv += ["--config", self.write("ctl.ini", [("ctl", {
                "platform": self.platform.addr, "signers": self.signer,
                "daemons": ops, "by": "proof"})])]
        result = subprocess.run(argv + list(words), cwd=self.dir, text=True,
                                timeout=TIMEOUT_S, stdout=subprocess.PIPE,
                                stderr=subprocess.STDOUT)
        check(fails or result.returncode == 0, "bkctl %s: %s", " ".join(words),
              result.stdout)
        return result.stdout

    def run(self, program, *words):
        """Runs a program of the build, which must exit with 0; returns what it
        printed."""
        result = subprocess.run(
            [os.path.join(self.build, program)] + [str(x) for x in words],
            text=True, timeout=TIMEOUT_S, stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT)
        check(result.returncode == 0, "%s: %s", program, result.stdout)
        return result.stdout

    def engine(self, name, domain="a", memory="48GiB", fencing="checked",
               slots=64, relay=False, **options):
        """Starts a model engine; options are those of fake-engine. relay:
        whether it is behind a relay, or a class of relays."""
        size = int(memory[:-3]) << 30
        fake = self.upstream(name, ["--memory", size, "--fencing", fencing,
                                    "--slots", slots], options, relay)
        self.upstreams.append(("upstream " + name, {
            "kind": "engine", "addr": fake.bundle_addr, "domain": domain,
            "memory": memory, "fencing": fencing, "slots": slots}))
        return fake

    def service(self, name, serves, domain="a", relay=False, **options):
        fake = self.upstream(name, ["--service"], options, relay)
        self.upstreams.append(("upstream " + name, {
            "kind": "service", "addr": fake.bundle_addr, "domain": domain,
            "serves": serves}))
        return fake

    def upstream(self, name, arguments, options, relay):
        for key, value in options.items():
            arguments += ["--" + key.replace("_", "-"), value]
        fake = Fake(self, name, "fake-engine", "--name", name, *arguments)
        fake.arguments = arguments
        make_relay = Relay if relay is True else relay
        fake.relay = make_relay(fake.addr) if relay else None
        fake.bundle_addr = fake.relay.addr if relay else fake.addr
        self.fakes.append(fake)
        self.platform.set(vms={name: "live"})
        return fake

    def item(self, kind, name, **keys):
        """Adds or replaces a model, adapter or service of the bundle."""
        self.remove_item(kind, name)
        self.items.append((kind + " " + name, keys))

    def remove_item(self, kind, name):
        self.items = [x for x in self.items if x[0] != kind + " " + name]

    def model(self, name, version="1", size="1GiB", **keys):
        self.item("model", name, version=version, bytes=size, **keys)

    def caller(self, token="token-1", allow="*", **keys):
        digest = hashlib.blake2b(token.encode(), digest_size=32).hexdigest()
        self.callers.append(("caller " + token, {"token": digest,
                                                 "allow": allow, **keys}))
        return Caller(token)

    def sign(self, path="bundle.ini"):
        """Writes and signs the bundle as described so far; returns path."""
        self.write(path, [("bundle", {"name": "proof"})] +
                   self.upstreams + self.items + self.callers)
        self.ctl("bundle", "sign", path, "--key", "key")
        return path

    def roll(self, why="proof", *words):
        """Signs the bundle as described so far, and rolls it."""
        output = self.ctl("bundle", "roll", self.sign(), "--replaces",
                          str(self.version), "--why", why, *words)
        self.version += 1
        return output

    def daemon(self, name, program, section, settings, domain):
        gossip, ops, listen = ("127.0.0.1:%d" % next_port() for _ in range(3))
        peers = " ".join(daemon.gossip for daemon in self.daemons)
        sections = {"daemon": {
            "name": name, "domain": domain, "gossip": gossip, "ops": ops,
            "peers": peers, "signers": self.signer, "secret": self.secret,
            "log_level": "debug",
            "gossip_period": "200ms", "polls_per_second": "20",
            "poll_age": "50ms",
            "balancer_wait": "100ms"},
            "platform": {"address": self.platform.addr,
                         "poll_bundle": "200ms", "poll_vms": "200ms"},
            section: {"listen": listen} if section == "entry" else {}}
        if section == "steward":
            sections["place"] = {}
        for key, value in settings.items():
            for target in (section, "daemon", "platform", "place"):
                if key.startswith(target + "_"):
                    sections.setdefault(target, {})[
                        key[len(target) + 1:]] = value
                    break
            else:
                sections[section][key] = value
        path = self.write(name + ".ini", sections.items())
        daemon = Daemon(self, name, program, path, listen, ops)
        daemon.gossip, daemon.settings = gossip, path
        daemon.program = program
        self.daemons.append(daemon)
        return daemon

    def entry(self, name="entry-1", domain="a", **settings):
        return self.daemon(name, "src/entry/bk-entry", "entry", settings,
                           domain)

    def steward(self, name="steward-1", domain="a", **settings):
        return self.daemon(name, "src/steward/bk-steward", "steward",
                           settings, domain)

    def row(self, table, key):
        """The data of a row of the platform; {} if there is none."""
        status, _, body = request(self.platform.addr, "GET",
                                  "/v1/row?t=%s&k=%s" % (table, key))
        return json.loads(json.loads(body)["d"]) if status == 200 else {}

    def rows(self, table):
        """The rows of a table of the platform, as {key: data}."""
        body = request(self.platform.addr, "GET",
                       "/v1/rows?t=%s&p=&after=&limit=500" % table)[2]
        return {row["k"]: json.loads(row["d"])
                for row in json.loads(body)["rows"]}

    def freeze_daemons(self, daemons):
        """Freezes them, and returns once the platform has processed the calls
        that they had sent before: those could use up the counts of faults that
        a case sets for other calls."""
        for daemon in daemons:
            daemon.freeze()
        # A call that is sent after the answer to another one is read after all
        # bytes that had arrived before that one.
        for _ in range(3):
            self.rows("bundle")

    def restart(self, daemon):
        """Starts a daemon again that has ended, at the same addresses."""
        restarted = Daemon(self, daemon.name, daemon.program, daemon.settings,
                           daemon.addr, daemon.ops)
        restarted.gossip, restarted.settings = daemon.gossip, daemon.settings
        restarted.program = daemon.program
        self.daemons[self.daemons.index(daemon)] = restarted
        return restarted

    def restart_fake(self, fake):
        """Starts an upstream again that has ended, behind the same relay."""
        restarted = Fake(self, fake.name, "fake-engine", "--name", fake.name,
                         *fake.arguments)
        restarted.arguments, restarted.relay = fake.arguments, fake.relay
        restarted.relay.target = restarted.addr
        self.fakes.append(restarted)
        return restarted

    def await_ready(self, *daemons):
        for daemon in daemons or self.daemons:
            wait(daemon.name + " ready", daemon.ready)

    def await_seen(self, entry, fake, *instances):
        wait("%s sees %s" % (entry.name, fake.name),
             lambda: entry.can_use(fake.name, instances))

    def journals(self, kind=None):
        """(name of the upstream, line) for the lines of all journals."""
        return [(fake.name, line) for fake in self.fakes
                for line in fake.journal(kind)]
