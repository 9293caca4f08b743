#!/bin/bash
# Builds the stand-ins that cases 4 and 5 of the review start. The project's programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/standin-2 .
