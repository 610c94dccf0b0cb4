#!/usr/bin/env bash
# Builds the program of deploy/system.toml under target/, with an archive of its loaded classes.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn --batch-mode --no-transfer-progress -q -T 1C -pl platform -am -DskipTests \
  -Dspotless.check.skip=true -Dcheckstyle.skip=true package
# Without the archive everything works, only the start takes longer.
java -cp platform/target/test-classes:target/cuminvalve-gateway.jar \
  io.cuminvalve.platform.standin.Rehearsal target/cuminvalve-gateway.jsa \
  java -Xms48m -Xmx160m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData \
  -jar target/cuminvalve-gateway.jar > target/rehearsal.log 2>&1 \
  || echo "no class archive: see target/rehearsal.log"
