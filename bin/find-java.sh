# Finds a JDK 21 or newer: JAVA_HOME, then PATH, then the usual folders. Sets JAVA_HOME.
vd_java_major() {
  "$1/bin/java" -XshowSettings:properties -version 2>&1 | sed -n 's/^ *java\.specification\.version = //p'
}

vd_java_fits() {
  [ -x "$1/bin/java" ] || return 1
  vd_major=$(vd_java_major "$1")
  [ "${vd_major%%.*}" -ge 21 ] 2>/dev/null
}

vd_find_java() {
  if [ -n "${VERBENADYKE_JAVA_HOME:-}" ]; then
    JAVA_HOME=$VERBENADYKE_JAVA_HOME
    return 0
  fi
  vd_on_path=$(command -v java 2>/dev/null || true)
  [ -z "$vd_on_path" ] || vd_on_path=$(dirname "$(dirname "$(readlink -f "$vd_on_path")")")
  for vd_candidate in "${JAVA_HOME:-}" "$vd_on_path" /usr/lib/jvm/* /opt/java/* /opt/jdk*; do
    if [ -n "$vd_candidate" ] && vd_java_fits "$vd_candidate"; then
      JAVA_HOME=$vd_candidate
      export JAVA_HOME
      VERBENADYKE_JAVA_HOME=$vd_candidate
      export VERBENADYKE_JAVA_HOME
      return 0
    fi
  done
  echo "No JDK 21 or newer was found. Install one, or set JAVA_HOME to its folder." >&2
  return 1
}
