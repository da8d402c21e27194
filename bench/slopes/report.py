"""Fits straight lines to the measured points and writes the report."""
import csv
import os

import plot

ROLES = ("entry", "steward", "planner")
QUANTITIES = (  # quantity in the points, heading, budget of one daemon
    ("control_bytes", "control, bytes/s", 11 * 1024),
    ("cpu_percent", "processor, % of a core", 1.2),
    ("memory_mib", "memory, MiB", 128),
    ("reads", "platform reads/s", None),
    ("writes", "platform writes/s", None),
)
BASE = {"daemons": 8, "replicas": 16, "models": 40}
VM_READERS = 8  # daemons that read the VM list in each period
# with this many replicas or more, every message to a peer has as many
# observations as fit
FULL_MESSAGE_REPLICAS = 48
# copies: total of all models, adapters and versions
DEPLOYMENTS = {
    "Varanda": {"daemons": 16, "replicas": 16, "models": 92, "copies": 120},
    "Kadonneet": {"daemons": 16, "replicas": 21, "models": 128,
                  "copies": 160},
    "target": {"daemons": 410, "replicas": 600, "models": 600,
               "copies": 1200},
}
# measure.CHECK_SIZE, a size that no line was fitted to, with its copies
CHECK_SIZE = {"daemons": 48, "replicas": 144, "models": 300, "copies": 300}
# These costs grow with the number of models in the bundle; all others grow
# with the number of copies on one replica, which the state of a replica lists.
COSTS_BY_MODELS = (("memory_mib", "entry"), ("memory_mib", "steward"),
                   ("memory_mib", "planner"), ("cpu_percent", "planner"))
PLATFORM_READS_BUDGET = 2000
PLATFORM_WRITES_BUDGET = 300  # the stated limit is "several hundred"
TARGET_REQUESTS_PER_S = 1100
TARGET_CHANGES_PER_DAY = 260
DAY_S = 86400
DEMAND_PERIOD_S = 5
DEMAND_HEADER_BYTES = 76  # RPC header, name, epoch, length
DEMAND_ROW_BYTES = 20
DEMAND_MAX_ROWS = 64
COMMAND = "`make slopes`"


class Fit:
    """y = intercept + slope * x by least squares, with the standard error of
    the slope."""

    def __init__(self, points):
        n = len(points)
        self.max_x = max(x for x, _ in points)
        mean_x = sum(x for x, _ in points) / n
        mean_y = sum(y for _, y in points) / n
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        self.slope = sum((x - mean_x) * (y - mean_y)
                         for x, y in points) / spread
        self.intercept = mean_y - self.slope * mean_x
        residual = sum((y - self.value_at(x)) ** 2 for x, y in points)
        self.slope_error = (residual / max(n - 2, 1) / spread) ** 0.5

    def value_at(self, x):
        return self.intercept + self.slope * x

    def extrapolate(self, x):
        """As value_at(), but a falling line is taken as constant beyond the
        largest measured size: nothing shows that it falls further."""
        return self.value_at(min(x, self.max_x) if self.slope < 0 else x)


class CostModel:
    """Estimates what one daemon of each role costs in a system of a given
    size."""

    def __init__(self, points):
        self.points = points
        self.fits = {}
        for key in sorted({p[:1] + p[2:4] for p in points}):
            dimension, role, name = key
            chosen = self.series(dimension, role, name)
            if len(chosen) >= 3:
                self.fits[key] = Fit(chosen)

    def series(self, dimension, role, name):
        return [(point[1], point[4]) for point in self.points
                if (point[0], point[2], point[3]) == (dimension, role, name)]

    def fit(self, dimension, role, name):
        return self.fits.get((dimension, role, name), Fit([(0, 0), (1, 0)]))

    def estimate(self, role, name, deployment):
        """Returns (value, error), from the lines of all three dimensions."""
        if name == "control_bytes":
            kinds = {point[3] for point in self.points
                     if point[3].startswith("bytes_")}
            parts = [self.estimate(role, kind, deployment) for kind in kinds]
            return (sum(value for value, _ in parts),
                    sum(error for _, error in parts))
        value, error = self.estimate_over_replicas(role, name, deployment)
        for dimension in ("daemons", "models"):
            fit = self.fit(dimension, role, name)
            increase = deployment[dimension] - BASE[dimension]
            if dimension == "models" and (name, role) not in COSTS_BY_MODELS:
                # the number of models that would put as many copies on each
                # replica of the base system
                copies = deployment["copies"] / deployment["replicas"]
                increase = copies * BASE["replicas"] - BASE["models"]
            size = BASE[dimension] + increase
            value += fit.extrapolate(size) - fit.value_at(BASE[dimension])
            error += fit.slope_error * abs(
                min(size, fit.max_x) - BASE[dimension]
                if fit.slope < 0 else increase)
        return max(value, 0.0), error

    def estimate_over_replicas(self, role, name, deployment):
        fit = self.fit("replicas", role, name)
        base = dict(self.series("daemons", role, name)).get(
            BASE["daemons"], 0.0)
        count = deployment["replicas"]
        if name == "bytes_platform":
            # the VM list: the more daemons there are, the more rarely each of
            # them reads it
            share = min(1.0, VM_READERS / deployment["daemons"])
            increase = (count - BASE["replicas"]) * share
            return base + fit.slope * increase, fit.slope_error * increase
        if count >= FULL_MESSAGE_REPLICAS:
            size = min(count, fit.max_x) if fit.slope < 0 else count
            return fit.extrapolate(count), fit.slope_error * (
                size - FULL_MESSAGE_REPLICAS)
        share = (count - BASE["replicas"]) / (
            FULL_MESSAGE_REPLICAS - BASE["replicas"])
        return base + share * (fit.value_at(FULL_MESSAGE_REPLICAS) - base), 0.0


def format_number(value):
    if value >= 100:
        return "%.0f" % value
    return "%.1f" % value if value >= 10 else "%.2f" % value


# How much of the budget is left, for a value that is estimated with an error.
def format_margin(value, error, budget):
    if budget is None:
        return ""
    if value > budget:
        return "**does not fit**"
    if value + error > budget:
        return "fits, error reaches past it"
    return "%.0f%%" % (100 * (1 - value / budget))


def format_table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def roles_table(costs):
    rows = []
    for role in ROLES:
        for name, heading, budget in QUANTITIES:
            cells = [role, heading]
            for deployment in DEPLOYMENTS.values():
                value, error = costs.estimate(role, name, deployment)
                cells.append(format_number(value))
            cells += ["± " + format_number(error),
                      "" if budget is None else format_number(budget),
                      format_margin(value, error, budget)]
            rows.append(cells)
    return format_table(["role", "quantity"] + list(DEPLOYMENTS) +
                        ["error at target", "budget", "margin"], rows)


def kinds_table(costs):
    names = sorted({p[3] for p in costs.points if p[3].startswith("bytes_")})
    rows = []
    for role in ROLES:
        for name in names:
            values = [costs.estimate(role, name, deployment)
                      for deployment in DEPLOYMENTS.values()]
            if max(value for value, _ in values) < 1:
                continue
            rows.append([role, name[len("bytes_"):]] +
                        [format_number(value) for value, _ in values] +
                        ["± " + format_number(values[-1][1])])
    return format_table(["role", "kind of message"] + list(DEPLOYMENTS) +
                        ["error at target"], rows)


def platform_table(costs):
    rows = []
    for name, budget in (("reads", PLATFORM_READS_BUDGET),
                         ("writes", PLATFORM_WRITES_BUDGET)):
        cells = [name + "/s, all daemons"]
        for deployment in DEPLOYMENTS.values():
            entries = deployment["daemons"] / 2
            total = (costs.estimate("entry", name, deployment)[0] * entries +
                     costs.estimate("steward", name, deployment)[0] *
                     (entries - 1) +
                     costs.estimate("planner", name, deployment)[0])
            cells.append(format_number(total))
        rows.append(cells + [format_number(budget),
                             format_margin(total, 0, budget)])
    return format_table(["quantity"] + list(DEPLOYMENTS) +
                        ["budget", "margin"], rows)


def work_table(costs):
    rows = []
    # 1 % of a core for one second is 10 ms, or 1e4 µs
    request_fit = costs.fit("requests", "entry", "cpu_percent")
    requests_per_entry = TARGET_REQUESTS_PER_S / (
        DEPLOYMENTS["target"]["daemons"] / 2)
    rows.append(["processor of bk-entry a request (one token)",
                 "%.0f µs ± %.0f" % (request_fit.slope * 1e4,
                                     request_fit.slope_error * 1e4),
                 "%.2f %% of a core at %.1f requests/s an entry"
                 % (request_fit.slope * requests_per_entry,
                    requests_per_entry)])
    changes_per_s = TARGET_CHANGES_PER_DAY / DAY_S
    for role in ROLES:
        control_fit = costs.fit("changes", role, "control_bytes")
        cpu_fit = costs.fit("changes", role, "cpu_percent")
        rows.append(["control bytes of a change, " + role,
                     "%.0f ± %.0f" % (control_fit.slope,
                                      control_fit.slope_error),
                     "%s bytes/s at %d changes a day"
                     % (format_number(max(control_fit.slope, 0) *
                                      changes_per_s),
                        TARGET_CHANGES_PER_DAY)])
        rows.append(["processor of a change, " + role,
                     "%.2f ms ± %.2f" % (cpu_fit.slope * 10,
                                         cpu_fit.slope_error * 10),
                     "%.4f %% of a core" % max(
                         cpu_fit.slope * changes_per_s, 0)])
    # computed from the format of the message, without a fitted line: one row
    # for each model that was requested since the last message
    entries = DEPLOYMENTS["target"]["daemons"] / 2
    demand_rows = min(requests_per_entry * DEMAND_PERIOD_S, DEMAND_MAX_ROWS)
    demand_bytes = entries * (
        DEMAND_HEADER_BYTES + demand_rows * DEMAND_ROW_BYTES) \
        / DEMAND_PERIOD_S
    control_bytes = costs.estimate(
        "planner", "control_bytes", DEPLOYMENTS["target"])[0] + demand_bytes
    rows.append(["demand at the planner (worked out from the message)",
                 "%d bytes and %d a model, every %d s from each entry"
                 % (DEMAND_HEADER_BYTES, DEMAND_ROW_BYTES, DEMAND_PERIOD_S),
                 "%s bytes/s, with all other control %s of %s: %s"
                 % (format_number(demand_bytes), format_number(control_bytes),
                    format_number(11 * 1024),
                    format_margin(control_bytes, 0, 11 * 1024))])
    longest = [p[4] for p in costs.points if p[3] == "longest_in_force_s"]
    rows.append(["longest from `bkctl bundle roll` to in force at 8 daemons",
                 "%.2f s" % max(longest), "budget 3 s"])
    return format_table(["work", "measured", "at the target"], rows)


def start_table(costs):
    rows = []
    names = sorted({p[3] for p in costs.points if p[0] == "start"})
    for name in names:
        points = costs.series("start", "entry", name)
        fit = costs.fit("start", "entry", name)
        rows.append([name] + [format_number(value) for _, value in points] +
                    [format_number(max(fit.value_at(600), 0)),
                     "± " + format_number(fit.slope_error * 600)])
    sizes = [str(x) for x, _ in costs.series("start", "entry", names[0])]
    return format_table(["of one start of bk-entry"] +
                        [size + " replicas" for size in sizes] +
                        ["600 replicas", "error"], rows)


def check_table(costs):
    """Compares the estimates with a system that no line was fitted to."""
    rows = []
    for role in ROLES:
        for name, heading, _ in QUANTITIES:
            measured = costs.series("check", role, name)
            if not measured:
                continue
            value, _ = costs.estimate(role, name, CHECK_SIZE)
            rows.append([role, heading, format_number(value),
                         format_number(measured[0][1])])
    return format_table(["role", "quantity", "worked out", "measured"], rows)


# Replaces the text between the markers of this name.
def replace_section(page, name, table):
    begin, end = "<!-- begin %s -->" % name, "<!-- end %s -->" % name
    before, remainder = page.split(begin)
    after = remainder.split(end)[1]
    return before + begin + "\n" + table + "\n\nFrom " + COMMAND + ".\n" + \
        end + after


def write_csv(path, header, rows):
    with open(path, "w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(header)
        writer.writerows(rows)


def write_report(points, docs):
    costs = CostModel(points)
    folder = os.path.join(docs, "capacity")
    os.makedirs(folder, exist_ok=True)
    write_csv(os.path.join(folder, "points.csv"),
              ("dimension", "size", "role", "quantity", "value"),
              [p[:4] + ("%.6g" % p[4],) for p in points])
    write_csv(os.path.join(folder, "fits.csv"),
              ("dimension", "role", "quantity", "intercept", "slope",
               "error_of_slope"),
              [key + ("%.6g" % fit.intercept, "%.6g" % fit.slope,
                      "%.6g" % fit.slope_error)
               for key, fit in sorted(costs.fits.items())])
    with open(os.path.join(folder, "slopes.svg"), "w") as file:
        file.write(plot.draw(costs, ROLES, QUANTITIES[:3]))
    path = os.path.join(docs, "CAPACITY.md")
    with open(path) as file:
        page = file.read()
    for name, table in (("roles", roles_table(costs)),
                        ("kinds", kinds_table(costs)),
                        ("platform", platform_table(costs)),
                        ("work", work_table(costs)),
                        ("start", start_table(costs)),
                        ("check", check_table(costs))):
        page = replace_section(page, name, table)
    with open(path, "w") as file:
        file.write(page)
