"""Text of the answer about a job that was not sent."""

from typing import Any


def format_plan(answer: dict[str, Any]) -> str:
    """Return the lines that `job explain` prints for a file.

    Args:
        answer: Answer of `POST /v1/explain`.
    """
    names = ("queue", "customer", "team", "urgency")
    lines = [
        ", ".join(
            f"{name} {answer[name]}" for name in names if answer.get(name)
        )
    ]
    if answer.get("job"):
        lines.append(f"the key belongs to job {answer['job']}")
    for step in answer["steps"]:
        lines += _list_step_lines(step, is_planned=answer["is_owner"])
    if not answer["is_owner"]:
        owner = answer["owner"] or "no entry at present"
        lines.append(
            "only the owner knows where the steps would start; the owner is "
            f"{owner}"
        )
    elif answer["is_paused"]:
        lines.append("the owner starts nothing: its records wait for the store")
    lines.append(_format_ages(answer["ages"]))
    return "\n".join(lines)


def _list_step_lines(step: dict[str, Any], *, is_planned: bool) -> list[str]:
    shape = "one gang" if step["gang"] else "single"
    needs = " ".join(
        f"{name}={amount}" for name, amount in step["need"].items()
    )
    head = f"step {step['step']}: {step['tasks']} tasks, {shape}, {needs}"
    if not is_planned:
        return [head]
    lines = [
        f"{head}; wait {_format_s(step['wait_s'])}, "
        f"then {_format_s(step['duration_s'])} each"
    ]
    if step["starts"]:
        workers = " ".join(
            f"{one['worker']}:{one['tasks']}" for one in step["starts"]
        )
        lines.append(f"  starts on {workers}")
    lines += [
        f"  held back by {one['rule']}: {one['tasks']} tasks; {one['detail']}"
        for one in step["held"]
    ]
    lines += [
        f"  stops {one['unit']}"
        + (
            f", which loses {one['loss_core_s']} core-seconds"
            if "loss_core_s" in one
            else f" ({one['reason']})"
        )
        for one in step["stops"]
    ]
    left_out = step["stop_count"] - len(step["stops"])
    if left_out:
        lines.append(f"  stops {left_out} others")
    return lines


def _format_ages(ages: dict[str, Any]) -> str:
    text = (
        f"ages: configuration {_format_s(ages['configuration_s'])}, "
        f"ledger {_format_s(ages['ledger_s'])}"
    )
    workers = ages["workers"]
    if workers is None:
        return text
    return (
        f"{text}, workers {_format_s(workers['newest_s'])} to "
        f"{_format_s(workers['oldest_s'])} ({workers['open']} open of "
        f"{workers['listed']} in {workers['service']})"
    )


def _format_s(seconds: float | None) -> str:
    return "unknown" if seconds is None else f"{seconds:.1f} s"
