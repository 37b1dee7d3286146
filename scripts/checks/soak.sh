#!/bin/sh
# Runs a short soak test with a fixed seed. Load on the machine does not change
# the result: the checks compare what callers and workers observe with the
# product's stated bounds.
set -u
cd "$(dirname "$0")/../.."
exec timeout 200 build/soak --seed 1 --seconds 6
