# Sourced by the other scripts: finds JDK 21 or later and exports JAVA_HOME.
java_major() {
    sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null
}

choose_jdk() {
    for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
        if [ -x "$home/bin/javac" ]; then
            major=$(java_major "$home")
            if [ "${major:-0}" -ge 21 ]; then
                JAVA_HOME=$home
                export JAVA_HOME
                return 0
            fi
        fi
    done
    echo "bronzelug needs JDK 21 or later: install it and set JAVA_HOME to its directory." >&2
    return 1
}

choose_jdk || exit 69
