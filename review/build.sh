#!/bin/sh
# Builds the stand-ins that the cases start.
cd "$(dirname "$0")/standins" || exit 2
exec cargo build --release --locked
