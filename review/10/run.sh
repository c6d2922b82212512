#!/bin/sh
# Plays the scenario "names" of review/stand_in_2.c; see claim.txt. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
. review/lib-2.sh
play_scenario names review/10
