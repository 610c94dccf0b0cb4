#!/usr/bin/env bash
# Builds the program of deploy/system.toml under target/, with an archive of its loaded classes.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn --batch-mode --no-transfer-progress -q -T 1C -pl platform -am -DskipTests \
  -Dspotless.check.skip=true -Dcheckstyle.skip=true package

program=target/cuminvalve-gateway.jar

# Hosts may have no directory into which the program could unpack native libraries.
native=target/native
jna=com/sun/jna
mkdir -p $native
(cd $native && jar xf ../../$program $jna/linux-x86-64 $jna/linux-aarch64)
jna_options="-Djna.nounpack=true -Djna.boot.library.path=$native/$jna/linux-x86-64:$native/$jna/linux-aarch64"

rehearsal="java $jna_options -Xms48m -Xmx160m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar $program"

# Without the archive everything works, only the start takes longer.
{
  java -cp "platform/target/test-classes:$program" \
    io.cuminvalve.platform.standin.Rehearsal target/classes.list $rehearsal &&
    java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile=target/classes.list \
      -XX:SharedArchiveFile=target/cuminvalve-gateway.jsa -cp "$program"
} > target/rehearsal.log 2>&1 || echo "no class archive: see target/rehearsal.log"
