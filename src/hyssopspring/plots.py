"""Plots, which need the optional dependency matplotlib."""

import click


def load_pyplot():
    """Return `matplotlib.pyplot` with a backend that writes files only.

    Raises:
        click.ClickException: matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        raise click.ClickException(
            "matplotlib is not installed: pip install hyssopspring[plot]"
        ) from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def plot_timeline(events, path):
    """Plot events over time, with one row per host.

    Args:
        events: Events as decoded from a response of the admin server.
        path: Path of the PNG file to write.
    """
    pyplot = load_pyplot()
    hosts = sorted({event["host"] for event in events})
    figure, axes = pyplot.subplots(figsize=(10, 1 + 0.5 * len(hosts)))
    start = min((event["millis"] for event in events), default=0)
    for name in sorted({event["name"] for event in events}):
        chosen = [event for event in events if event["name"] == name]
        axes.scatter(
            [(event["millis"] - start) / 1000 for event in chosen],
            [hosts.index(event["host"]) for event in chosen],
            s=12,
            label=name,
        )
    axes.set_yticks(range(len(hosts)), hosts)
    axes.set_xlabel("seconds")
    axes.legend(fontsize="x-small", loc="upper left", bbox_to_anchor=(1, 1))
    figure.savefig(path, dpi=120, bbox_inches="tight")
    pyplot.close(figure)


def plot_percentiles(histograms, path):
    """Plot the time at each percentile, with one line per kind.

    Args:
        histograms: Histogram in microseconds by kind of time.
        path: Path of the PNG file to write.
    """
    pyplot = load_pyplot()
    figure, axes = pyplot.subplots(figsize=(7, 4))
    points = [point / 2 for point in range(2, 200)] + [99.9]
    for kind, histogram in histograms.items():
        if histogram.get_total_count():
            values = [
                histogram.get_value_at_percentile(point) / 1000
                for point in points
            ]
            axes.plot(points, values, label=kind)
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("milliseconds")
    axes.legend()
    figure.savefig(path, dpi=120, bbox_inches="tight")
    pyplot.close(figure)
