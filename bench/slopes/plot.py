"""The measured points and their lines as one SVG picture."""
DIMENSIONS = ("daemons", "replicas", "models")
WIDTH, HEIGHT, MARGIN = 260, 170, 46
COLOURS = {"entry": "#1b6ca8", "steward": "#2e8540", "planner": "#b5482a"}


class Panel:
    """One quantity over one dimension, with all roles."""

    def __init__(self, column, row, most_x, most_y):
        self.left = column * (WIDTH + MARGIN) + MARGIN
        self.top = row * (HEIGHT + MARGIN) + MARGIN
        self.most_x, self.most_y = most_x, most_y or 1.0

    def at(self, x, y):
        return (self.left + x / self.most_x * WIDTH,
                self.top + HEIGHT - min(y / self.most_y, 1.0) * HEIGHT)

    def frame(self, title, heading):
        return [
            '<rect x="%d" y="%d" width="%d" height="%d" fill="none" '
            'stroke="#888"/>' % (self.left, self.top, WIDTH, HEIGHT),
            text(self.left, self.top - 6, heading + ", over " + title),
            text(self.left - 4, self.top + 10, "%.3g" % self.most_y, "end"),
            text(self.left - 4, self.top + HEIGHT, "0", "end"),
            text(self.left + WIDTH, self.top + HEIGHT + 14,
                 "%d" % self.most_x, "end"),
        ]

    def series(self, points, fit, colour):
        x0, x1 = points[0][0], points[-1][0]
        ends = self.at(x0, fit.at(x0)) + self.at(x1, fit.at(x1))
        parts = ['<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" '
                 'stroke="%s"/>' % (ends + (colour,))]
        for x, y in points:
            parts.append('<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>'
                         % (self.at(x, y) + (colour,)))
        return parts


def text(x, y, words, anchor="start"):
    return ('<text x="%d" y="%d" font-size="11" font-family="sans-serif" '
            'text-anchor="%s">%s</text>' % (x, y, anchor, words))


def draw(model, roles, quantities):
    parts = []
    for row, (name, heading, _) in enumerate(quantities):
        for column, dimension in enumerate(DIMENSIONS):
            series = {role: model.series(dimension, role, name)
                      for role in roles}
            values = [p for points in series.values() for p in points]
            panel = Panel(column, row, max(x for x, _ in values),
                          max(y for _, y in values) * 1.1)
            parts += panel.frame(dimension, heading)
            for role, points in series.items():
                if points:
                    parts += panel.series(
                        points, model.fit(dimension, role, name),
                        COLOURS[role])
    for i, role in enumerate(roles):
        parts.append('<text x="%d" y="18" font-size="12" fill="%s" '
                     'font-family="sans-serif">%s</text>'
                     % (MARGIN + i * 90, COLOURS[role], role))
    size = (len(DIMENSIONS) * (WIDTH + MARGIN) + MARGIN,
            len(quantities) * (HEIGHT + MARGIN) + MARGIN)
    return ('<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d">'
            '\n<rect width="100%%" height="100%%" fill="white"/>\n' % size
            + "\n".join(parts) + "\n</svg>\n")
