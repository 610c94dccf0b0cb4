#!/usr/bin/env bash
# Builds the program of deploy/system.toml under target/, with an archive of its loaded classes.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn --batch-mode --no-transfer-progress -q -T 1C -pl platform -am -DskipTests \
  -Dspotless.check.skip=true -Dcheckstyle.skip=true package

program=target/cuminvalve-gateway.jar
rehearsal="java -Xms48m -Xmx160m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar $program"

# Without the archive everything works, only the start takes longer.
{
  java -cp "platform/target/test-classes:$program" \
    io.cuminvalve.platform.standin.Rehearsal target/classes.list $rehearsal &&
    java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile=target/classes.list \
      -XX:SharedArchiveFile=target/cuminvalve-gateway.jsa -cp "$program"
} > target/rehearsal.log 2>&1 || echo "no class archive: see target/rehearsal.log"
