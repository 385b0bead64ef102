#!/usr/bin/env python3
"""Short soaks of planned work and store restores as test cases of a JUnit report.

  short.py BINARY REPORT

Seeds are fixed. A case fails if a rule was broken or the soak could not run; the failure text has
the command, with its seed, and the whole output of the soak.
"""

import shutil
import subprocess
import sys
import tempfile
import time
import xml.etree.ElementTree as ElementTree
from pathlib import Path

SOAK = Path(__file__).with_name("soak.py")
RUN_TIMEOUT_SECONDS = 300  # of one run; a run takes about 35 s
CASES = {
    "Soak: planned work leaves no request of a small deployment without an answer":
        "--planned --seed 1 --seconds 20 --grace_ms 6000",
    "Soak: planned work leaves no relayed request without an answer":
        "--planned --seed 2 --seconds 25 --daemons 9 --connections 14 --meshed 4",
    "Soak: replicas that leave or fall silent before all daemons restart cost no commit":
        "--sequences --seed 1 --seconds 45",
    "Soak: a store that returns from older copies breaks no rule":
        "--restores --seed 3 --seconds 30",
    "Soak: commands that arrive in parts before their session is accepted run whole":
        "--seed 2 --seconds 30 --daemons 9 --connections 14 --meshed 4 --early_callers 24",
    "Soak: instances that refuse to prepare a connection leave no value of another session":
        "--refusals --seed 1 --seconds 24",
    "Soak: answers of several MB arrive whole beside planned work":
        "--planned --seed 5 --seconds 15 --grace_ms 6000 --huge_readers 2",
    "Soak: odd entries of another writer end no daemon and leave no list unread":
        "--odd_entries --seed 1 --seconds 15",
}


def run_soak(binary, options):
    """Runs a soak; returns its command and output if it fails, else an empty text."""
    logs = tempfile.mkdtemp(prefix="valvekeel-edge-soak-")
    command = [sys.executable, str(SOAK), binary, *options.split(), "--keep", logs]
    soak = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                            errors="replace")
    try:
        output, _ = soak.communicate(timeout=RUN_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        soak.terminate()  # it ends its daemons
        output = soak.communicate()[0] + "did not end within %d s\n" % RUN_TIMEOUT_SECONDS
    if soak.returncode == 0:
        shutil.rmtree(logs)
        return ""
    return "%s\n%s" % (" ".join(command), output)


def main():
    binary, report = sys.argv[1:]
    suite = ElementTree.Element("testsuite", name="soak")
    for name, options in CASES.items():
        began = time.monotonic()
        problem = run_soak(binary, options)
        case = ElementTree.SubElement(suite, "testcase", name=name,
                                      time="%.1f" % (time.monotonic() - began))
        if problem:
            ElementTree.SubElement(case, "failure").text = problem
    ElementTree.ElementTree(suite).write(report)


if __name__ == "__main__":
    main()
