#!/bin/sh
# Runs the case of a folder: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
folder=$1
class=$2
cd -- "$(dirname -- "$(readlink -f -- "$0")")/../.." || exit 2
. bin/find-java.sh
vd_find_java || exit 2
if [ ! -d target/review-2/classes ] || [ ! -f target/platform/lib/node.jar ]; then
  echo "Build first: bin/build-platform, then review/build-2.sh." >&2
  exit 2
fi
timeout 118 "$JAVA_HOME/bin/java" -Xmx1g -cp target/review-2/classes "$class" "$folder/record.txt"
code=$?
case $code in
  0 | 1) grep -q '^[0-9]* verdict: ' "$folder/record.txt" || code=2 ;;
  *) code=2 ;;
esac
exit "$code"
