#!/usr/bin/env bash
# Sets up Tapløn's pools and one of its five teams, through any of its VMs.
# Needs BRONZELUG_VMS and BRONZELUG_OPERATOR_SECRET_FILE.
set -eu
bronzelug=$(dirname "$0")/../bin/bronzelug
# A runner loads weights in about 0.4 s, and more slowly while more than 3 runners load weights.
"$bronzelug" set-pool lm-pool --kind model --model house-rules --concurrent-loads 3
"$bronzelug" set-pool tab-core --kind application
for number in 10 11 12 13 14 15 16 17 18 19 20 21 22; do
    "$bronzelug" join-endpoint lm-pool "lm-$number" "http://127.0.0.1:75$number"
done
for number in 1 2 3 4; do
    "$bronzelug" join-endpoint tab-core "tab-$number" "http://127.0.0.1:76$number""0"
done
"$bronzelug" set-team vesterbro --rate 20000 --burst 100000
"$bronzelug" issue-key vesterbro first
