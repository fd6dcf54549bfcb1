#!/bin/sh
# Runs a rig of real node processes: bench/rigs/run.sh EndlessAnswers|LateRequests. Needs bin/build-platform first. Uses
# the stand-ins of review/standins-2. Exits with 1 if the rig's check failed.
set -eu
cd -- "$(dirname -- "$(readlink -f -- "$0")")/../.."
. bin/find-java.sh
vd_find_java || exit 2
mkdir -p target/rigs
"$JAVA_HOME/bin/javac" -nowarn -d target/rigs/classes review/standins-2/*.java bench/rigs/*.java
exec timeout 118 "$JAVA_HOME/bin/java" -Xmx1g -cp target/rigs/classes "review.$1" "target/rigs/$1.txt"
