#!/bin/sh
# Builds the stand-ins and the cases into target/review. Needs nothing but the JDK.
set -eu
cd -- "$(dirname -- "$(readlink -f -- "$0")")/.."
. bin/find-java.sh
vd_find_java || exit 2
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review $(find review -name '*.java')
