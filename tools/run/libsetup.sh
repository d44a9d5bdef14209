# Sourced by the commands: installs what is missing and builds.
packages="build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy cppcheck curl jq
libcaf-dev libnng-dev libboost-dev libtomlplusplus-dev libcpp-httplib-dev libtclap-dev
libgoogle-glog-dev libexpected-dev libcppunit-dev libflatbuffers-dev libxxhash-dev
nlohmann-json3-dev librapidcheck-dev libssl-dev"

# The compiler cache serves every checkout of the project, whatever its folder.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

# Installs the packages that are not there yet; needs root only then.
installPackages() {
    local missing=""
    local package
    for package in $packages; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
            || missing="$missing $package"
    done
    [ -z "$missing" ] && return 0
    echo "installing:$missing"
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
}

# configureAndBuild FOLDER [SANITIZERS] [TARGET...]
configureAndBuild() {
    local folder=$1 sanitizers=${2:-}
    shift; [ $# -gt 0 ] && shift
    cmake -G Ninja -B "$folder" -S . -DCOMFREY_SANITIZE="$sanitizers" >"$folder.log" 2>&1 \
        || { cat "$folder.log"; return 1; }
    ninja -C "$folder" "$@" >"$folder.log" 2>&1 || { tail -n 60 "$folder.log"; return 1; }
    rm -f "$folder.log"
}

sourceFiles() {
    git ls-files '*.cpp' '*.h' | grep -v '^src/generated/'
}
