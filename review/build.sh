#!/usr/bin/env bash
# Compiles the stand-ins and the cases. Needs the program of deploy/build.sh, whose JSON library they use.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/out
mkdir -p review/out
javac --release 17 -nowarn -cp target/cuminvalve-gateway.jar -d review/out review/standin/*.java review/[0-9]/*.java
