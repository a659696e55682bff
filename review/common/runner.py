"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
import asyncio
import os
import shutil
import sys
import tempfile
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins

LIMIT_S = 110


def run(case, **options):
    """`case` is an async function of the site and of whether the disruption happens. It returns whether the rule
    held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="limpetlock-review-")
    record = standins.Record(os.path.join(folder, "record.txt"))
    record.line("disruption: %s" % ("yes" if trouble else "no"))
    code = 2
    site = None

    async def main():
        nonlocal site
        site = standins.Site(temporary, record, **options)
        return await asyncio.wait_for(case(site, trouble), LIMIT_S)

    try:
        if not os.access(standins.BINARY, os.X_OK):
            raise RuntimeError("no " + standins.BINARY + "; run the build of deploy/system.toml first")
        loop = asyncio.new_event_loop()
        held = loop.run_until_complete(main())
        code = 0 if held else 1
    except BaseException:  # anything unexpected means that the case couldn't run
        record.line("the case couldn't run: " + traceback.format_exc().replace("\n", " | "))
        traceback.print_exc()
    if site is not None:
        site.stop()
    shutil.rmtree(temporary, ignore_errors=True)
    record.line("exit code %d" % code)
    print("exit code %d: %s" % (code, ["the rule held", "the rule was broken", "the case couldn't run"][code]))
    sys.stdout.flush()
    os._exit(code)
