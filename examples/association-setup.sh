#!/usr/bin/env bash
# Sets up the association's pools and one of its five teams, through any of its VMs.
# Needs BRONZELUG_VMS and BRONZELUG_OPERATOR_SECRET_FILE.
set -eu
bronzelug=$(dirname "$0")/../bin/bronzelug
# A runner loads weights in about 0.4 s, and more slowly while more than 2 runners load weights.
"$bronzelug" set-pool textwerk --kind model --model faq --concurrent-loads 2
"$bronzelug" set-pool mitglieder-shop --kind application
for number in 1 2 3 4 5 6 7 8; do
    "$bronzelug" join-endpoint textwerk "textwerk-$number" "http://127.0.0.1:75$number""0"
done
for number in 1 2 3 4; do
    "$bronzelug" join-endpoint mitglieder-shop "shop-$number" "http://127.0.0.1:76$number""0"
done
"$bronzelug" set-team buchhandel --rate 20000 --burst 100000
"$bronzelug" issue-key buchhandel first
