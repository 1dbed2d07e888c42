#!/usr/bin/env python3
"""Writes the traces under share/traces from their seeds. usage: scripts/make-traces.py"""
import json
import pathlib
import random

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "share" / "traces"
MS_PER_S = 1000
CRASH = "crash-upstream"

# One kind of request: rank, method, service, bytes, time limit in ms.
URGENT_READ = ("urgent", "GET", "stock", 0, 1000)
ORDER = ("standard", "POST", "orders", 200, 5000)
STANDARD_WRITE = ("standard", "POST", "stock", 500, 5000)
BULK_READ = ("bulk", "GET", "stock", 50000, 30000)


def requests(rng, kind, rate, start_s, end_s, callers):
    """Requests of one kind at a rate a second, as a Poisson process."""
    rank, method, service, size, timeout = kind
    at = start_s + rng.expovariate(rate)
    while at < end_s:
        key = f"{rng.choice(['east', 'west'])}-{int(rng.paretovariate(1.0)) % 200}"
        yield {
            "at_ms": round(at * MS_PER_S, 3),
            "method": method,
            "path": f"/{service}/{key}",
            "rank": rank,
            "caller": f"{callers}-{rng.randrange(12)}",
            "size": size,
            "timeout_ms": timeout,
        }
        at += rng.expovariate(rate)


def usual(rng, end_s, callers):
    lines = []
    for kind, rate in ((URGENT_READ, 20), (ORDER, 8), (STANDARD_WRITE, 4), (BULK_READ, 1)):
        lines += requests(rng, kind, rate, 0, end_s, callers)
    return lines


def poison(rng, callers):
    """One caller sends a request that crashes every upstream that runs it."""
    line = next(requests(rng, URGENT_READ, 1, 4, 60, callers))
    return [dict(line, path=f"{line['path']}?note={CRASH}")]


def event(at_s, name, **fields):
    return {"at_ms": at_s * MS_PER_S, "event": name, **fields}


def traces():
    """Name, caller prefix, lines and stated outcome of each trace."""
    kept = {"lost": 0, "doubled": 0, "cut": 0, "not_run_but_ran": 0, "overlaps": 0}
    for user, callers in (("association", "kiosk"), ("kuoo", "curator")):
        rng = random.Random(f"{user}-1")
        surge = usual(rng, 14, callers) + list(requests(rng, BULK_READ, 300, 4, 8, "archive"))
        yield f"{user}-archive-surge", surge, {**kept, "done_percent_min": {"urgent": 99, "standard": 95}}
        flood = usual(rng, 14, callers) + list(requests(rng, URGENT_READ, 900, 4, 7, "flood"))
        yield f"{user}-urgent-flood", flood, {**kept, "done_percent_min": {"standard": 20, "bulk": 10}}
        stop = usual(rng, 14, callers) + [event(4, "stop_upstream"), event(9, "stop_vm")]
        yield f"{user}-rolling-stop", stop, {**kept, "broken_answers": 0, "done_percent_min": {"urgent": 99}}
        yield f"{user}-poison", usual(rng, 14, callers) + poison(rng, callers), {**kept, "upstream_crashes_max": 2}
        silent = usual(rng, 14, callers) + [event(5, "silence_connections")]
        yield f"{user}-silent-connections", silent, {**kept, "done_percent_min": {"urgent": 98}}
        outage = usual(rng, 14, callers) + [event(4, "log_outage"), event(6, "kill_upstream"), event(11, "log_back")]
        yield f"{user}-log-outage", outage, {**kept, "orphaned_ms_max": 2000}


def main():
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, lines, outcome in traces():
        lines.sort(key=lambda line: line["at_ms"])
        text = "".join(json.dumps(line, separators=(",", ":")) + "\n" for line in lines)
        (FOLDER / f"{name}.jsonl").write_text(text)
        (FOLDER / f"{name}.outcome.json").write_text(json.dumps(outcome, indent=2) + "\n")


main()
