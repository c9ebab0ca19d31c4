#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec bash review/tests/play.sh new-route-to-a-second-pool review/2
