#!/bin/sh
# Runs a short soak test with fixed seeds: one with all faults, one with planned
# work only. Load on the machine does not change the result: the checks compare
# what callers and workers observe with the product's stated bounds.
set -u
cd "$(dirname "$0")/../.."
exec scripts/soak.sh 2 3 6 2
