#!/usr/bin/env python3
"""Reads VMs' JSON lines, from files or standard input, and prints how service came back after losses.

A line may have text before the JSON object. Printed, each as one JSON line:
- restart: half of the VMs or more started within a second; times in ms from the last line before, to the first
  "started", and until a quarter, a half and nine tenths of the answers a second of the three seconds before.
- leader: from a leader's last line as one to the next "leading".
- handover: from a release that was accepted to the grant of the same keys; p50, p99 and the longest, in ms.
"""
import bisect
import fileinput
import json

STEP_S = 0.1
BEFORE_S = 3.0
AFTER_S = 15.0


def events():
    for line in fileinput.input(errors="replace"):
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if "event" in event and "time_us" in event:
            yield event["time_us"] / 1e6, event


def restarts(started, vms):
    groups = []
    for at in started:
        if groups and at - groups[-1][0] < 1.0:
            groups[-1].append(at)
        else:
            groups.append([at])
    return [group for group in groups if 2 * len(group) >= vms]


def rate(done, first, last):
    return (bisect.bisect(done, last) - bisect.bisect(done, first)) / (last - first)


def main():
    found = sorted(events(), key=lambda pair: pair[0])
    vms = len({event.get("process") for _, event in found})
    times = [at for at, _ in found]
    done = [at for at, event in found if event["event"] == "request_done" and event.get("status") == 200]
    started = [at for at, event in found if event["event"] == "started"]
    for group in restarts(started, vms):
        index = bisect.bisect_left(times, group[0])
        if index == 0 or not done or done[0] > group[0]:
            continue
        lost = times[index - 1]
        usual = rate(done, lost - BEFORE_S, lost)
        result = {"kind": "restart", "vms": len(group), "down_ms": round((group[0] - lost) * 1000)}
        for name, share in (("quarter_ms", 0.25), ("half_ms", 0.5), ("nine_tenths_ms", 0.9)):
            at = group[0]
            while at < group[0] + AFTER_S and rate(done, at, at + 5 * STEP_S) < share * usual:
                at += STEP_S
            result[name] = round((at - group[0]) * 1000)
        print(json.dumps(result))
    last, released, moves = None, {}, []
    for at, event in found:
        kind = event["event"]
        if kind in ("grant", "release", "placement_planned"):
            last = (at, event["process"])
        if kind == "leading":
            if last and last[1] != event["process"]:
                print(json.dumps({"kind": "leader", "without_ms": round((at - last[0]) * 1000)}))
            last = (at, event["process"])
        if event.get("answer") != "accepted":
            continue
        key = (event["service"], event["first"])
        if kind == "release":
            released[key] = at
        elif kind == "grant":
            for other in [other for other in released
                          if other[0] == event["service"] and event["first"] <= other[1] <= event["last"]]:
                moves.append((at - released.pop(other)) * 1000)
    if moves:
        moves.sort()
        print(json.dumps({"kind": "handover", "moves": len(moves), "p50_ms": round(moves[len(moves) // 2]),
                          "p99_ms": round(moves[len(moves) * 99 // 100]), "longest_ms": round(moves[-1])}))


main()
