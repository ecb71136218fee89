#!/bin/sh
# Builds the stand-ins that the cases 4 and later start.
cd "$(dirname "$0")/standins-2" || exit 2
exec cargo build --release --locked --offline --target-dir ../../target/review-2
