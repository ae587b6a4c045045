#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The program itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/lab ./review/_lab
