#!/bin/sh
# Builds the stand-ins of the cases; it needs no module besides Go's own library.
cd "$(dirname "$0")/stand" && GOWORK=off go build -o ../bin/stand .
