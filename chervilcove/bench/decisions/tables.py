"""Format reports as plain text tables."""

from typing import Any

_COLUMNS: tuple[tuple[str, tuple[str, ...]], ...] = (
    ("urgent p95 s", ("completion_s", "urgent", "p95")),
    ("normal p95 s", ("completion_s", "normal", "p95")),
    ("batch p95 s", ("completion_s", "batch", "p95")),
    ("mean s", ("completion_s", "all", "mean")),
    ("large p99 s", ("large_gang_wait_s", "p99")),
    ("urgent start p99 s", ("urgent_start_s", "p99")),
    ("fragm.", ("fragmentation",)),
    ("util.", ("utilisation",)),
    ("work/twin", ("work_done_ratio", "ratio")),
    ("work/allowed", ("work_done_ratio", "of_allowed")),
    ("reclaims", ("reclaim", "asked")),
    ("honoured", ("reclaim", "honoured")),
    ("reclaim p99 s", ("reclaim", "p99_s")),
    ("preempt. lost", ("preempted_work_ratio",)),
    ("decide p99 ms", ("decision_ms", "p99")),
    ("unfinished", ("jobs", "unfinished")),
    ("lost", ("jobs", "lost")),
)


def format_reports(reports: list[dict[str, Any]]) -> str:
    """Return a table with one row for each scenario and policy."""
    header = ["scenario", "policy", *(name for name, _ in _COLUMNS)]
    header.append("violations")
    rows = [header]
    for report in reports:
        for policy, figures in report["policies"].items():
            row = [report["scenario"], policy]
            row.extend(
                _show(_get_figure(figures, path)) for _, path in _COLUMNS
            )
            row.append(_show_violations(figures["violations"]))
            rows.append(row)
    return _align(rows)


def format_verdicts(verdicts: list[dict[str, Any]]) -> str:
    """Return a table with one row for each verdict."""
    rows = [["scenario", "target", "figure", "bound", "baseline", "floor"]]
    rows[0].append("verdict")
    words = {True: "met", False: "MISSED", None: "not measured"}
    for verdict in verdicts:
        rows.append(
            [
                verdict["scenario"],
                verdict["target"],
                _show(verdict["figure"]),
                _show(verdict["bound"]),
                _show(verdict["baseline"]),
                _show(verdict["floor"]),
                words[verdict["passed"]],
            ]
        )
    return _align(rows)


def _show_violations(violations: dict[str, int]) -> str:
    broken = [f"{key}={count}" for key, count in violations.items() if count]
    return " ".join(broken) or "0"


def _show(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}" if abs(value) < 10 else f"{value:.0f}"
    return str(value)


def _get_figure(figures: dict[str, Any], path: tuple[str, ...]) -> Any:
    value: Any = figures
    for key in path:
        value = value[key]
    return value


def _align(rows: list[list[str]]) -> str:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
