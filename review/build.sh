#!/usr/bin/env bash
# Compiles the stand-ins and the cases under target/. Needs the program of deploy/build.sh, whose JSON library they use.
set -euo pipefail
cd "$(dirname "$0")/.."
classes=target/review-classes
rm -rf $classes
mkdir -p $classes
javac --release 17 -nowarn -cp target/cuminvalve-gateway.jar -d $classes review/*.java review/[0-9]/*.java
