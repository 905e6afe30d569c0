#!/bin/sh
# Builds the stand-ins that the scripts of the second review's cases start, into review/bin. The build of the deploy file
# comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/6 review/7 review/8 review/9; do
  go build -o "review/bin/case${folder#review/}" "./$folder"
done
