"""Plot the three main measures on one self-contained HTML page."""

import base64
import html
import io
import pathlib
from typing import Any

from matplotlib import figure
import numpy

from chervilcove.bench.decisions import measures
from chervilcove.bench.decisions import tables
from chervilcove.bench.decisions import work

_POINTS = 240
_HOUR_S = 3600.0
_STYLE = (
    "body{font:14px sans-serif;margin:2em}pre{font-size:11px;overflow:auto}"
    "img{max-width:100%}"
)


class Page:
    """HTML page with one plot and table for each scenario."""

    def __init__(self):
        self._parts: list[str] = []

    def add_scenario(
        self,
        scenario: dict[str, Any],
        report: dict[str, Any],
        trials: dict[str, list[measures.Trial]],
    ) -> None:
        """Add the plot and the tables of one scenario."""
        picture = base64.b64encode(_draw(scenario, trials)).decode()
        table = tables.format_reports([report])
        verdicts = tables.format_verdicts(report["targets"])
        self._parts.append(
            f"<h2>{html.escape(scenario['name'])}</h2>"
            f"<p>{html.escape(scenario['about'])}</p>"
            f'<img alt="measures over time" '
            f'src="data:image/png;base64,{picture}">'
            f"<pre>{html.escape(table)}</pre>"
            f"<pre>{html.escape(verdicts)}</pre>"
        )

    def write(self, path: str) -> None:
        """Write the page to `path`."""
        target = pathlib.Path(path)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(
            '<!doctype html><meta charset="utf-8">'
            f"<title>Decision bench</title><style>{_STYLE}</style>"
            "<h1>Decision bench</h1>"
            "<p>Completion times are of all seeds; the curves over time are "
            "of the first seed.</p>" + "".join(self._parts),
            encoding="utf-8",
        )


def _draw(
    scenario: dict[str, Any], trials: dict[str, list[measures.Trial]]
) -> bytes:
    """Return a PNG with one panel for each of the three measures."""
    drawing = figure.Figure(figsize=(15, 4), layout="constrained")
    completion, fragmentation, kept = drawing.subplots(1, 3)
    for policy, done in trials.items():
        _draw_completion(completion, policy, done)
        _draw_fragmentation(fragmentation, scenario, policy, done[0])
        _draw_work(kept, scenario, policy, done[0])
    _label(completion, "completion time", "seconds", "share of jobs")
    completion.set_xscale("log")
    _label(fragmentation, "fragmentation", "hours", "share of free, mean")
    _label(kept, "work done", "hours", "accelerator-hours")
    for event in scenario["events"]:
        if event["kind"].startswith(("data_centre_", "rack_")):
            at = event["at_s"] / _HOUR_S
            fragmentation.axvline(at, color="0.7", linewidth=0.8)
            kept.axvline(at, color="0.7", linewidth=0.8)
    completion.legend(fontsize="small")
    buffer = io.BytesIO()
    drawing.savefig(buffer, format="png", dpi=80)
    return buffer.getvalue()


def _label(axes: Any, title: str, across: str, up: str) -> None:
    axes.set_title(title)
    axes.set_xlabel(across)
    axes.set_ylabel(up)


def _draw_completion(
    axes: Any, policy: str, trials: list[measures.Trial]
) -> None:
    values = sorted(
        max(value, 1.0)
        for trial in trials
        for value in measures.list_completion_times(trial)
    )
    shares = (numpy.arange(len(values)) + 1) / max(len(values), 1)
    axes.plot(values, shares, label=policy)


def _draw_fragmentation(
    axes: Any, scenario: dict[str, Any], policy: str, trial: measures.Trial
) -> None:
    shares = measures.list_sample_shares(scenario, trial.record, "unusable")
    edges = numpy.linspace(
        scenario["measure_from_s"], scenario["horizon_s"], _POINTS // 4 + 1
    )
    total = numpy.zeros(len(edges) - 1)
    for since, until, share in shares:
        overlap = numpy.minimum(edges[1:], until) - numpy.maximum(
            edges[:-1], since
        )
        total += numpy.clip(overlap, 0, None) * share
    widths = edges[1:] - edges[:-1]
    axes.plot(edges[1:] / _HOUR_S, total / widths, label=policy)


def _draw_work(
    axes: Any, scenario: dict[str, Any], policy: str, trial: measures.Trial
) -> None:
    points = list(numpy.linspace(0.0, max(trial.record.ended_at, 1.0), _POINTS))
    hours = [point / _HOUR_S for point in points]
    curve = work.list_kept_curve(trial.record, points)
    (line,) = axes.plot(
        hours, [value / _HOUR_S for value in curve], label=policy
    )
    if trial.twin is not None:
        twin = work.list_kept_curve(trial.twin, points)
        axes.plot(
            hours,
            [value / _HOUR_S for value in twin],
            linestyle=":",
            color=line.get_color(),
        )
