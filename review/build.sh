#!/bin/sh
# Builds the stand-ins that the cases' scripts start, into review/bin. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]; do
  go build -o "review/bin/case${folder#review/}" "./$folder"
done
