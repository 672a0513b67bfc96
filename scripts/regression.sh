#!/usr/bin/env bash
# Plays the regression deployments on the users' bench: hunts, then scores. Run it in the repository before a landing.
#
# usage: scripts/regression.sh FLEETBENCH SITES WHY
#   FLEETBENCH  program of the bench
#   SITES       folder that holds the deployments
#   WHY         reason for the journal
set -euo pipefail
bench=$1
sites=$2
why=$3

# Deployment and days to hunt; 8 or more from 60 machines on, 40 or more below. The two first deployments
# (abay-entries and fbpuc-termsearch) gave way to the last three.
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
