"""Draws the measured points and the fitted lines as one SVG image."""
DIMENSIONS = ("daemons", "replicas", "models")
WIDTH, HEIGHT, MARGIN = 260, 170, 46
ROLE_COLOURS = {"entry": "#1b6ca8", "steward": "#2e8540", "planner": "#b5482a"}


class Panel:
    """A diagram of one quantity over one dimension, with all roles."""

    def __init__(self, column, row, max_x, max_y):
        self.left = column * (WIDTH + MARGIN) + MARGIN
        self.top = row * (HEIGHT + MARGIN) + MARGIN
        self.max_x, self.max_y = max_x, max_y or 1.0

    def to_pixels(self, x, y):
        return (self.left + x / self.max_x * WIDTH,
                self.top + HEIGHT - min(y / self.max_y, 1.0) * HEIGHT)

    def draw_frame(self, title, heading):
        return [
            '<rect x="%d" y="%d" width="%d" height="%d" fill="none" '
            'stroke="#888"/>' % (self.left, self.top, WIDTH, HEIGHT),
            draw_text(self.left, self.top - 6, heading + ", over " + title),
            draw_text(self.left - 4, self.top + 10, "%.3g" % self.max_y,
                      "end"),
            draw_text(self.left - 4, self.top + HEIGHT, "0", "end"),
            draw_text(self.left + WIDTH, self.top + HEIGHT + 14,
                      "%d" % self.max_x, "end"),
        ]

    def draw_series(self, points, fit, colour):
        x0, x1 = points[0][0], points[-1][0]
        coordinates = self.to_pixels(x0, fit.value_at(x0)) + self.to_pixels(
            x1, fit.value_at(x1))
        parts = ['<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" '
                 'stroke="%s"/>' % (coordinates + (colour,))]
        for x, y in points:
            parts.append('<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>'
                         % (self.to_pixels(x, y) + (colour,)))
        return parts


def draw_text(x, y, content, anchor="start"):
    return ('<text x="%d" y="%d" font-size="11" font-family="sans-serif" '
            'text-anchor="%s">%s</text>' % (x, y, anchor, content))


def draw(costs, roles, quantities):
    parts = []
    for row, (name, heading, _) in enumerate(quantities):
        for column, dimension in enumerate(DIMENSIONS):
            series = {role: costs.series(dimension, role, name)
                      for role in roles}
            values = [p for points in series.values() for p in points]
            panel = Panel(column, row, max(x for x, _ in values),
                          max(y for _, y in values) * 1.1)
            parts += panel.draw_frame(dimension, heading)
            for role, points in series.items():
                if points:
                    parts += panel.draw_series(
                        points, costs.fit(dimension, role, name),
                        ROLE_COLOURS[role])
    for i, role in enumerate(roles):
        parts.append('<text x="%d" y="18" font-size="12" fill="%s" '
                     'font-family="sans-serif">%s</text>'
                     % (MARGIN + i * 90, ROLE_COLOURS[role], role))
    size = (len(DIMENSIONS) * (WIDTH + MARGIN) + MARGIN,
            len(quantities) * (HEIGHT + MARGIN) + MARGIN)
    return ('<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d">'
            '\n<rect width="100%%" height="100%%" fill="white"/>\n' % size
            + "\n".join(parts) + "\n</svg>\n")
