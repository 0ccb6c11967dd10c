#!/usr/bin/env bash
# Kills gateways while backends are emptied. Needs the build of the deploy file
# and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cassiawind ] && [ -x review/bin/reviewkit ] || exit 2
exec review/bin/reviewkit pages review/3
