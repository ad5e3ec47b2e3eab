#!/usr/bin/env bash
# Runs case 14; see claim.txt. Needs the build of the deploy file and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -x target/review-3/cut ] && [ -x target/radishyard_edge ] || exit 2
exec target/review-3/cut target/radishyard_edge "$folder"
