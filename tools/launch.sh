# Sourced by the programs in bin/ and by ./measure: runs a main class of a built module.
launch() {
    module=$1
    main_class=$2
    shift 2
    # The command-line tool ends before the optimizing compiler pays off.
    short_lived=
    [ "$module" = tools ] && short_lived=-XX:TieredStopAtLevel=1
    . "$root/tools/jdk.sh"
    if [ ! -d "$root/$module/target/dependency" ]; then
        echo "bronzelug is not built: run ./check or ./quickstart first." >&2
        exit 69
    fi
    class_path=$(echo "$root/$module/target/"bronzelug-*.jar | tr ' ' ':'):$root/$module/target/dependency/*
    # The class-data sharing archive, if tools/archive has created it, halves the start-up time.
    # shellcheck disable=SC2086
    exec "$JAVA_HOME/bin/java" -XX:+UseSerialGC -Xshare:auto \
        -XX:SharedArchiveFile="$root/$module/target/classes.jsa" -Xlog:disable -Xlog:all=off \
        -XX:+IgnoreUnrecognizedVMOptions --enable-native-access=ALL-UNNAMED \
        --sun-misc-unsafe-memory-access=allow \
        $short_lived ${BRONZELUG_JAVA_OPTIONS:-} -cp "$class_path" "$main_class" "$@"
}
