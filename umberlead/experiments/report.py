"""Writes the HTML report of an experiment; charts are embedded in it and also stored as image files."""

import base64
import io
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
from jinja2 import Environment  # noqa: E402

from umberlead.experiments import compare  # noqa: E402

PAGE = Path(__file__).with_name("report.html.j2")


def _image(figure: Any, path: Path) -> str:
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png", dpi=110)
    plt.close(figure)
    path.write_bytes(buffer.getvalue())
    return base64.b64encode(buffer.getvalue()).decode()


def _days_chart(rows: list[dict[str, Any]]) -> Any:
    arms = compare.by_arm(rows, "service")
    figure, axes = plt.subplots(figsize=(8, 0.8 + 0.5 * len(arms)))
    for n, (_, days) in enumerate(sorted(arms.items())):
        values = list(days.values())
        axes.plot(values, [n] * len(values), "o", alpha=0.4)
        axes.plot([sum(values) / len(values)], [n], "k|", markersize=18)
    axes.set_yticks(range(len(arms)), sorted(arms))
    axes.set_xlabel("service of each day, and the mean")
    return figure


def _pairs_chart(pairs: list[compare.Pair], baseline: str) -> Any:
    figure, axes = plt.subplots(figsize=(8, 0.8 + 0.5 * len(pairs)))
    for n, p in enumerate(pairs):
        half_width = p.difference.high - p.difference.mean if p.difference.n > 1 else 0.0
        axes.errorbar([p.difference.mean], [n], xerr=[[half_width], [half_width]], fmt="o", capsize=4)
    axes.axvline(0, color="k", linewidth=0.8)
    axes.set_yticks(range(len(pairs)), [p.arm for p in pairs])
    axes.set_xlabel(f"service against {baseline}, paired by day, 95%")
    return figure


def _time_chart(arms: dict[str, list[float]]) -> Any:
    figure, axes = plt.subplots(figsize=(8, 3.2))
    for arm, seconds in arms.items():
        axes.plot(range(len(seconds)), seconds, label=arm, linewidth=1.2)
    axes.set_xlabel("s of the day")
    axes.set_ylabel("service")
    axes.set_ylim(0, 1.05)
    axes.legend(fontsize="small")
    return figure


def write(
    folder: Path,
    name: str,
    baseline: str,
    measures: list[str],
    rows: list[dict[str, Any]],
    faults: list[dict[str, Any]],
) -> Path:
    """Write `report.html` and the chart images to `folder`; return the path of the report.

    Raises:
        ValueError: There is no day for which every arm has a result.
    """
    ranking = compare.ranking(rows)
    if not ranking:
        raise ValueError("no day has results from every arm: there is nothing to compare")
    service_pairs = compare.pairs(rows, "service", baseline)
    charts = [("Each day's service", _image(_days_chart(rows), folder / "days.png"))]
    if service_pairs:
        charts.append(
            ("Differences", _image(_pairs_chart(service_pairs, baseline), folder / "differences.png"))
        )
    for n, (script, scenario) in enumerate(sorted({(r["script"], r["scenario"]) for r in rows})):
        chart = _time_chart(compare.over_time(rows, script, scenario))
        charts.append((f"{script}: {scenario}", _image(chart, folder / f"seconds-{n}.png")))
    broken = {arm: int(sum(days.values())) for arm, days in compare.by_arm(rows, "breaches").items()}
    page = (
        Environment(autoescape=True)
        .from_string(PAGE.read_text())
        .render(
            name=name,
            baseline=baseline,
            days=ranking[0][1].n,
            ranking=ranking,
            broken=broken,
            faults=faults,
            scripts=sorted({r["script"] for r in rows}),
            seeds=sorted({r["seed"] for r in rows}),
            driver=", ".join(sorted({r["driver"] for r in rows})),
            charts=charts,
            tables=[(m, compare.pairs(rows, m, baseline)) for m in measures],
        )
    )
    path = folder / "report.html"
    path.write_text(page)
    return path
