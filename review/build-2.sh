#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2, with the libraries that the build of the deploy file
# made: target/platform/lib/node.jar and the project's own stand-ins.
set -eu
cd -- "$(dirname -- "$(readlink -f -- "$0")")/.."
. bin/find-java.sh
vd_find_java || exit 2
[ -f target/platform/lib/node.jar ] || bin/build-platform
standins=$(ls standins/target/verbenadyke-standins-*.jar 2> /dev/null | head -n 1)
if [ -z "$standins" ]; then
  mvn -o -B -q -DskipTests -Dspotless.check.skip=true -Dcheckstyle.skip=true -pl platform,standins -am package
  standins=$(ls standins/target/verbenadyke-standins-*.jar | head -n 1)
fi
rm -rf target/review-2
mkdir -p target/review-2
cp "$standins" target/review-2/standins.jar
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2/classes -cp "target/platform/lib/node.jar:target/review-2/standins.jar" \
  review/standins-2/*.java review/[4-8]/*.java
