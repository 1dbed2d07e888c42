#!/usr/bin/env python3
"""Holds the figures of a replay against the stated outcome. usage: check-outcome.py OUTCOME FOLDER"""
import json
import pathlib
import sys


def figures(folder):
    """What the journals' comparison, the callers' summaries and the upstreams' ends tell."""
    found = {}
    for line in (folder / "comparison").read_text().splitlines():
        found.update(json.loads(line))
    for line in (folder / "caller-1.log").read_text().splitlines():
        rank = json.loads(line)
        found.setdefault("done_percent", {})[rank["rank"]] = round(100 * rank["done"] / max(1, rank["offered"]), 1)
        found.setdefault("p99_ms", {})[rank["rank"]] = rank["p99_ms"]
    crashes = 0
    for journal in folder.glob("upstream-*.jsonl"):
        crashes += sum('"request_started"' in line for line in journal.read_text().splitlines()[-1:])
    found["upstream_crashes"] = crashes
    return found


def differences(stated, found):
    for name, value in stated.items():
        if name == "done_percent_min":
            for rank, least in value.items():
                if found["done_percent"].get(rank, 0) < least:
                    yield f"done_percent of {rank}: {found['done_percent'].get(rank)} is below {least}"
        elif name.endswith("_max") and name != "orphaned_ms_max":
            if found[name.removesuffix("_max")] > value:
                yield f"{name}: {found[name.removesuffix('_max')]} is above {value}"
        elif name == "orphaned_ms_max":
            if found[name] > value:
                yield f"{name}: {found[name]} is above {value}"
        elif found[name] != value:
            yield f"{name}: {found[name]} is not {value}"


def main():
    stated = json.loads(pathlib.Path(sys.argv[1]).read_text())
    found = figures(pathlib.Path(sys.argv[2]))
    problems = list(differences(stated, found))
    print(json.dumps({"trace": pathlib.Path(sys.argv[1]).name.removesuffix(".outcome.json"),
                      "result": "differs" if problems else "as_stated", "differences": problems, **found}))
    sys.exit(1 if problems else 0)


main()
