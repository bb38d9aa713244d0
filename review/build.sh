#!/bin/sh
# Builds the stand-ins of the cases: one program, from the standard library alone.
set -e
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin"
rustc --edition 2024 -O -o "$here/bin/stand" "$here/stand/main.rs"
