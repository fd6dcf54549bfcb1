# Common part of the launchers: finds the project's folder, a JDK and the built libraries.
vd_bin=$(CDPATH='' cd -- "$(dirname -- "$(readlink -f -- "$0")")" && pwd)
vd_home=$(dirname -- "$vd_bin")
. "$vd_bin/find-java.sh"
vd_find_java || exit 2
vd_lib="$vd_home/dist/target/lib"
if ! ls "$vd_lib"/verbenadyke-node-*.jar >/dev/null 2>&1; then
  echo "The project isn't built yet. Run bin/test or bin/build first." >&2
  exit 2
fi
vd_flags="--sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED -XX:-UsePerfData"
