#!/usr/bin/env python3
"""Tables of what gateways served and refused, and by which rule, from logs.

Usage: refusals.py [--by rule,workspace,route] [--step SECONDS] LOG...

Reads JSON lines, also behind a prefix. Callers send a refused request again, so
requests of one workspace with the same content count once, by their last
verdict. With --step, a row for each time step; the time is that of the prefix
if it begins with a number, else that of the line.
"""
import argparse
import collections
import datetime
import json


def read_lines(paths):
    """Yields (seconds, line) for each request_placed line of an engine."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as log:
            for text in log:
                start = text.find('{"')
                if start < 0 or '"request_placed"' not in text:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue  # Cut off when its process was killed.
                if "tokens" not in line:
                    continue  # Of a plain service.
                try:
                    seconds = float(text[:start].split()[0])
                except (IndexError, ValueError):
                    time = datetime.datetime.fromisoformat(line["time"][:-1])
                    seconds = time.timestamp()
                yield seconds, line


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--by", default="rule")
    parser.add_argument("--step", type=float, default=0)
    parser.add_argument("log", nargs="+")
    args = parser.parse_args()

    last = {}
    for seconds, line in read_lines(args.log):
        key = line["workspace"], line["content"]
        first, _ = last.get(key, (seconds, None))
        last[key] = first, line
    rows = collections.defaultdict(collections.Counter)
    for seconds, line in last.values():
        if line["verdict"] == "refuse":
            idle = "idle" if line["wait_ms"] == 0 else "busy"
            rule = f"{line.get('rule', '?')}, {idle} engine"
        else:
            rule = line["verdict"]
        fields = [
            rule if name == "rule" else line.get(name, "")
            for name in args.by.split(",")
        ]
        if args.step:
            fields.insert(0, f"{seconds // args.step * args.step:g}")
        row = rows[tuple(fields)]
        row["requests"] += 1
        row["tokens"] += line["tokens"]
    total = sum(row["tokens"] for row in rows.values())
    order = sorted(rows.items(), key=lambda row: -row[1]["tokens"])
    if args.step:
        order.sort(key=lambda row: float(row[0][0]))
    for fields, row in order:
        print(f"{row['requests']:8} {row['tokens'] / 1000:10.0f}k "
              f"{100 * row['tokens'] / total:5.1f}%  {'  '.join(fields)}")


if __name__ == "__main__":
    main()
