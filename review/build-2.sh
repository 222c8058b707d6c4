#!/bin/bash
# Builds the stand-in of the cases 6 to 10. The build line of deploy/system.toml comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/stand2 ./review/_stand2
