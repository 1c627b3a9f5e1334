"""Runs the test programs one after another and counts their test cases; KNOWN-RED.txt names those that may fail."""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ["base", "config", "policy", "membership", "link", "telemetry", "http", "node", "platform", "utilities", "system", "soak"]
TIME_LIMIT_SECONDS = 1500
COUNTS = re.compile(r"test cases:\s*(\d+)\s*\|\s*(\d+) passed\s*\|\s*(\d+) failed")


def known_red() -> dict[str, list[str]]:
    """Test cases by program, from the lines 'test: PROGRAM: CASE' of KNOWN-RED.txt."""
    cases: dict[str, list[str]] = {}
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return cases
    for line in path.read_text().splitlines():
        found = re.match(r"test: (\w+): (.*)", line)
        if found:
            cases.setdefault(found[1], []).append(found[2].strip())
    return cases


def run(program: str, *options: str) -> tuple[int, int]:
    """Returns the numbers of passed and failed cases; a program that crashes or times out has at least one failure."""
    command = [str(ROOT / "build" / "tests" / f"test_{program}"), *options]
    try:
        done = subprocess.run(command, capture_output=True, text=True, errors="replace",
                              timeout=TIME_LIMIT_SECONDS, check=False)
        output, code = done.stdout + done.stderr, done.returncode
    except subprocess.TimeoutExpired as expired:
        output, code = str(expired.stdout or ""), -1
    found = COUNTS.search(output)
    passed, failed = (int(found[2]), int(found[3])) if found else (0, 0)
    if code != 0 and failed == 0:
        failed = 1
    if failed or not passed:
        print(output)
    return passed, failed


def filter_of(cases: list[str]) -> str:
    """Returns one doctest filter for all cases. A comma separates filters, so one inside a name becomes '?'."""
    return ",".join(case.replace(",", "?") for case in cases)


def main() -> int:
    red = known_red()
    passed = failed = 0
    for program in PROGRAMS:
        options = [f"--test-case-exclude={filter_of(red[program])}"] if program in red else []
        program_passed, program_failed = run(program, *options)
        print(f"{program}: {program_passed} of {program_passed + program_failed} cases passed", flush=True)
        passed += program_passed
        failed += program_failed
    for program, cases in red.items():
        for case in cases:
            _, case_failed = run(program, f"--test-case={filter_of([case])}")
            print(f"KNOWN-RED {program}: {case}: {'failed' if case_failed else 'passed this time'}", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
