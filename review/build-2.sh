#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Needs nothing but the JDK; the cases start the nodes that
# the build of the deploy file made, and need python3 for review/standins-2/relay.py.
set -eu
cd -- "$(dirname -- "$(readlink -f -- "$0")")/.."
. bin/find-java.sh
vd_find_java || exit 2
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2/classes review/standins-2/*.java review/[4-8]/*.java
