#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/review/bin/stand" ] && [ -x "$root/target/release/lapisrudder" ] || exit 2
exec "$root/review/bin/stand" uploads "$root" "$here/record.txt"
