"""Straight lines through the measured points, and the page made of them."""
import csv
import os

import plot

ROLES = ("entry", "steward", "planner")
QUANTITIES = (  # name in the points, heading, budget of one daemon
    ("control_bytes", "control, bytes/s", 11 * 1024),
    ("cpu_percent", "processor, % of a core", 1.2),
    ("memory_mib", "memory, MiB", 128),
    ("reads", "platform reads/s", None),
    ("writes", "platform writes/s", None),
)
BASE = {"daemons": 8, "replicas": 16, "models": 40}
VM_READERS = 8  # daemons that read the VM list once a period
KNEE = 48  # from here on a message to a peer is full of observations
# copies: of all models, adapters and versions together
PLACES = {
    "Varanda": {"daemons": 16, "replicas": 16, "models": 92, "copies": 120},
    "Kadonneet": {"daemons": 16, "replicas": 21, "models": 128,
                  "copies": 160},
    "target": {"daemons": 410, "replicas": 600, "models": 600,
               "copies": 1200},
}
# measure.CHECK: a size at which no slope was measured
CHECK = {"daemons": 48, "replicas": 144, "models": 300, "copies": 300}
# A state grows with the copies on one replica, memory and the planner's work
# with the models themselves.
BY_MODELS = (("memory_mib", "entry"), ("memory_mib", "steward"),
             ("memory_mib", "planner"), ("cpu_percent", "planner"))
PLATFORM_READS = 2000
PLATFORM_WRITES = 300  # "several hundred"
TARGET_REQUESTS = 1100
TARGET_CHANGES_A_DAY = 260
DAY_S = 86400
DEMAND_PERIOD_S = 5
DEMAND_HEAD = 76  # bytes: RPC head, name, epoch, length
DEMAND_ROW = 20
DEMAND_MOST_ROWS = 64
COMMAND = "`make slopes`"


class Fit:
    """y = a + b x by least squares, with the standard error of b."""

    def __init__(self, points):
        n = len(points)
        self.most = max(x for x, _ in points)
        mean_x = sum(x for x, _ in points) / n
        mean_y = sum(y for _, y in points) / n
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        self.b = sum((x - mean_x) * (y - mean_y)
                     for x, y in points) / spread
        self.a = mean_y - self.b * mean_x
        rest = sum((y - self.at(x)) ** 2 for x, y in points)
        self.error = (rest / max(n - 2, 1) / spread) ** 0.5

    def at(self, x):
        return self.a + self.b * x

    def ahead(self, x):
        """As at(), but a falling line is not drawn out beyond the largest
        size that was measured: nothing says that it goes on falling."""
        return self.at(min(x, self.most) if self.b < 0 else x)


class Model:
    """What a daemon of a role costs in a system of a given size."""

    def __init__(self, points):
        self.points = points
        self.fits = {}
        for key in sorted({p[:1] + p[2:4] for p in points}):
            dimension, role, name = key
            chosen = self.series(dimension, role, name)
            if len(chosen) >= 3:
                self.fits[key] = Fit(chosen)

    def series(self, dimension, role, name):
        return [(p[1], p[4]) for p in self.points
                if (p[0], p[2], p[3]) == (dimension, role, name)]

    def fit(self, dimension, role, name):
        return self.fits.get((dimension, role, name), Fit([(0, 0), (1, 0)]))

    def estimate(self, role, name, place):
        """(value, error) from the slopes of all three dimensions."""
        if name == "control_bytes":
            kinds = {p[3] for p in self.points if p[3].startswith("bytes_")}
            parts = [self.estimate(role, kind, place) for kind in kinds]
            return (sum(value for value, _ in parts),
                    sum(error for _, error in parts))
        value, error = self.over_replicas(role, name, place)
        for dimension in ("daemons", "models"):
            line = self.fit(dimension, role, name)
            far = place[dimension] - BASE[dimension]
            if dimension == "models" and (name, role) not in BY_MODELS:
                # as many models as would put these copies on each replica
                copies = place["copies"] / place["replicas"]
                far = copies * BASE["replicas"] - BASE["models"]
            end = BASE[dimension] + far
            value += line.ahead(end) - line.at(BASE[dimension])
            error += line.error * abs(min(end, line.most) - BASE[dimension]
                                      if line.b < 0 else far)
        return max(value, 0.0), error

    def over_replicas(self, role, name, place):
        line = self.fit("replicas", role, name)
        base = dict(self.series("daemons", role, name)).get(
            BASE["daemons"], 0.0)
        count = place["replicas"]
        if name == "bytes_platform":
            # the VM list, read more rarely the more daemons there are
            share = min(1.0, VM_READERS / place["daemons"])
            far = (count - BASE["replicas"]) * share
            return base + line.b * far, line.error * far
        if count >= KNEE:
            far = min(count, line.most) if line.b < 0 else count
            return line.ahead(count), line.error * (far - KNEE)
        share = (count - BASE["replicas"]) / (KNEE - BASE["replicas"])
        return base + share * (line.at(KNEE) - base), 0.0


def number(value):
    if value >= 100:
        return "%.0f" % value
    return "%.1f" % value if value >= 10 else "%.2f" % value


def verdict(value, error, budget):
    if budget is None:
        return ""
    if value > budget:
        return "**does not fit**"
    if value + error > budget:
        return "fits, error reaches past it"
    return "%.0f%%" % (100 * (1 - value / budget))


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def roles_table(model):
    rows = []
    for role in ROLES:
        for name, heading, budget in QUANTITIES:
            cells = [role, heading]
            for place in PLACES.values():
                value, error = model.estimate(role, name, place)
                cells.append(number(value))
            cells += ["± " + number(error),
                      "" if budget is None else number(budget),
                      verdict(value, error, budget)]
            rows.append(cells)
    return table(["role", "quantity"] + list(PLACES) +
                 ["error at target", "budget", "margin"], rows)


def kinds_table(model):
    names = sorted({p[3] for p in model.points if p[3].startswith("bytes_")})
    rows = []
    for role in ROLES:
        for name in names:
            values = [model.estimate(role, name, place)
                      for place in PLACES.values()]
            if max(value for value, _ in values) < 1:
                continue
            rows.append([role, name[len("bytes_"):]] +
                        [number(value) for value, _ in values] +
                        ["± " + number(values[-1][1])])
    return table(["role", "kind of message"] + list(PLACES) +
                 ["error at target"], rows)


def platform_table(model):
    rows = []
    for name, budget in (("reads", PLATFORM_READS),
                         ("writes", PLATFORM_WRITES)):
        cells = [name + "/s, all daemons"]
        for place in PLACES.values():
            half = place["daemons"] / 2
            total = (model.estimate("entry", name, place)[0] * half +
                     model.estimate("steward", name, place)[0] * (half - 1) +
                     model.estimate("planner", name, place)[0])
            cells.append(number(total))
        rows.append(cells + [number(budget), verdict(total, 0, budget)])
    return table(["quantity"] + list(PLACES) + ["budget", "margin"], rows)


def work_table(model):
    rows = []
    line = model.fit("requests", "entry", "cpu_percent")
    share = TARGET_REQUESTS / (PLACES["target"]["daemons"] / 2)
    rows.append(["processor of bk-entry a request (one token)",
                 "%.0f µs ± %.0f" % (line.b * 1e4, line.error * 1e4),
                 "%.2f %% of a core at %.1f requests/s an entry"
                 % (line.b * share, share)])
    rate = TARGET_CHANGES_A_DAY / DAY_S
    for role in ROLES:
        data = model.fit("changes", role, "control_bytes")
        cpu = model.fit("changes", role, "cpu_percent")
        rows.append(["control bytes of a change, " + role,
                     "%.0f ± %.0f" % (data.b, data.error),
                     "%s bytes/s at %d changes a day"
                     % (number(max(data.b, 0) * rate), TARGET_CHANGES_A_DAY)])
        rows.append(["processor of a change, " + role,
                     "%.2f ms ± %.2f" % (cpu.b * 10, cpu.error * 10),
                     "%.4f %% of a core" % max(cpu.b * rate, 0)])
    # no slope: the form of the message, a row for each model that was asked
    # for since the last one
    entries = PLACES["target"]["daemons"] / 2
    demand_rows = min(share * DEMAND_PERIOD_S, DEMAND_MOST_ROWS)
    demand = entries * (DEMAND_HEAD + demand_rows * DEMAND_ROW) \
        / DEMAND_PERIOD_S
    control = model.estimate("planner", "control_bytes",
                             PLACES["target"])[0] + demand
    rows.append(["demand at the planner (worked out from the message)",
                 "%d bytes and %d a model, every %d s from each entry"
                 % (DEMAND_HEAD, DEMAND_ROW, DEMAND_PERIOD_S),
                 "%s bytes/s, with all other control %s of %s: %s"
                 % (number(demand), number(control), number(11 * 1024),
                    verdict(control, 0, 11 * 1024))])
    longest = [p[4] for p in model.points if p[3] == "longest_in_force_s"]
    rows.append(["longest from `bkctl bundle roll` to in force at 8 daemons",
                 "%.2f s" % max(longest), "budget 3 s"])
    return table(["work", "measured", "at the target"], rows)


def start_table(model):
    rows = []
    names = sorted({p[3] for p in model.points if p[0] == "start"})
    for name in names:
        points = model.series("start", "entry", name)
        line = model.fit("start", "entry", name)
        rows.append([name] + [number(value) for _, value in points] +
                    [number(max(line.at(600), 0)),
                     "± " + number(line.error * 600)])
    sizes = [str(x) for x, _ in model.series("start", "entry", names[0])]
    return table(["of one start of bk-entry"] +
                 [size + " replicas" for size in sizes] +
                 ["600 replicas", "error"], rows)


def check_table(model):
    """The model against a system that no slope was measured on."""
    rows = []
    for role in ROLES:
        for name, heading, _ in QUANTITIES:
            measured = model.series("check", role, name)
            if not measured:
                continue
            value, _ = model.estimate(role, name, CHECK)
            rows.append([role, heading, number(value),
                         number(measured[0][1])])
    return table(["role", "quantity", "worked out", "measured"], rows)


def fill(page, name, text):
    begin, end = "<!-- begin %s -->" % name, "<!-- end %s -->" % name
    head, rest = page.split(begin)
    tail = rest.split(end)[1]
    return head + begin + "\n" + text + "\n\nFrom " + COMMAND + ".\n" + \
        end + tail


def write_csv(path, head, rows):
    with open(path, "w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(head)
        writer.writerows(rows)


def write(points, docs):
    model = Model(points)
    folder = os.path.join(docs, "capacity")
    os.makedirs(folder, exist_ok=True)
    write_csv(os.path.join(folder, "points.csv"),
              ("dimension", "size", "role", "quantity", "value"),
              [p[:4] + ("%.6g" % p[4],) for p in points])
    write_csv(os.path.join(folder, "fits.csv"),
              ("dimension", "role", "quantity", "intercept", "slope",
               "error_of_slope"),
              [key + ("%.6g" % fit.a, "%.6g" % fit.b, "%.6g" % fit.error)
               for key, fit in sorted(model.fits.items())])
    with open(os.path.join(folder, "slopes.svg"), "w") as file:
        file.write(plot.draw(model, ROLES, QUANTITIES[:3]))
    path = os.path.join(docs, "CAPACITY.md")
    with open(path) as file:
        page = file.read()
    for name, text in (("roles", roles_table(model)),
                       ("kinds", kinds_table(model)),
                       ("platform", platform_table(model)),
                       ("work", work_table(model)),
                       ("start", start_table(model)),
                       ("check", check_table(model))):
        page = fill(page, name, text)
    with open(path, "w") as file:
        file.write(page)
