#!/bin/sh
# A short soak with a fixed seed. A busy machine gets the same verdict: the
# checks count from what callers and workers see, with the product's bounds.
set -u
cd "$(dirname "$0")/../.."
exec timeout 200 build/soak --seed 1 --seconds 6
