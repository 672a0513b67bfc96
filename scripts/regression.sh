#!/usr/bin/env bash
# Runs the `hunt` and then the `score` command of the users' bench on the regression deployments. Run it in the
# repository before each landing.
#
# usage: scripts/regression.sh FLEETBENCH SITES WHY
#   FLEETBENCH  path of the bench program
#   SITES       directory of the deployments
#   WHY         reason to record in the journal
set -euo pipefail
bench=$1
sites=$2
why=$3

# Deployments, each with the number of days to hunt: at least 8 for deployments of 60 or more machines, at least 40 for
# smaller ones. The last three replaced the deployments abay-entries and fbpuc-termsearch, which came first.
deployments=(
    "grown/abay-entries-grown 40"
    "grown/fbpuc-termsearch-grown 40"
    "further/wijepeg-search 40"
    "further-grown/wijepeg-search-grown 40"
    "large/fbpuc-termsearch-large 10"
)

for deployment in "${deployments[@]}"; do
    read -r site days <<<"$deployment"
    "$bench" hunt "$sites/$site.toml" --days "$days" --why "$why"
done
for deployment in "${deployments[@]}"; do
    "$bench" score "$sites/${deployment% *}.toml" --why "$why"
done
