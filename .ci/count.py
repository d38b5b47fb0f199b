"""Counts the results of all modules, passing over the tests that KNOWN-RED.txt lists.

Called with the exit status of the build. Each entry of KNOWN-RED.txt is one line of four parts parted by " | ":
test (class and name), command and seed, what was seen, issue.
"""

import pathlib
import sys
import xml.etree.ElementTree as ElementTree

# Characters of the message of a failed test that are printed.
MAXIMUM_MESSAGE = 3000


def known_red():
    path = pathlib.Path("KNOWN-RED.txt")
    if not path.exists():
        return set()
    lines = [line.strip() for line in path.read_text().splitlines()]
    return {line.split(" | ")[0].strip() for line in lines if line and not line.startswith("#")}


def message(case):
    """Returns the end of what a failed test says, which tells why it failed where only the count is kept."""
    for kind in ("failure", "error"):
        found = case.find(kind)
        if found is not None:
            return (found.get("message") or found.text or "")[-MAXIMUM_MESSAGE:]
    return ""


def results():
    for report in sorted(pathlib.Path(".").glob("*/target/surefire-reports/TEST-*.xml")):
        for case in ElementTree.parse(report).getroot().iter("testcase"):
            failed = case.find("failure") is not None or case.find("error") is not None
            yield f"{case.get('classname')} {case.get('name')}", failed, case.find("skipped") is not None, message(case)


def main():
    build_status = int(sys.argv[1])
    listed = known_red()
    passed = failed = skipped = passed_over = 0
    for name, is_failed, is_skipped, said in results():
        if is_skipped:
            skipped += 1
        elif is_failed and name in listed:
            passed_over += 1
            print(f"known red: {name}")
        elif is_failed:
            failed += 1
            print(f"failed: {name}")
            print("\n".join(f"    {line}" for line in said.splitlines()))
        else:
            passed += 1
    if build_status != 0:
        print("the build failed outside the tests")
        failed += 1
    print(f"{passed} passed, {failed} failed" + (f", {skipped} skipped" if skipped else ""))
    sys.exit(1 if failed or passed == 0 else 0)


main()
