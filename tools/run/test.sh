# ./run test: sets up, checks format and linters, builds with warnings as errors, and runs all tests
# plain, under ASan+UBSan, and the threaded parts under TSan. The last line counts them all.
set -u
. tools/run/libsetup.sh
installPackages || exit 1
passed=0
failed=0
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

# step NAME COMMAND...: one check; its output is shown only if it fails.
step() {
    local name=$1
    shift
    if "$@" >"$results/out" 2>&1; then
        passed=$((passed + 1))
        echo "ok    $name"
    else
        failed=$((failed + 1))
        echo "FAIL  $name"
        tail -n 60 "$results/out"
    fi
}

# suite NAME COMMAND...: a test program that ends with "N passed, N failed".
suite() {
    local name=$1 counts
    shift
    "$@" >"$results/out" 2>&1
    local code=$?
    counts=$(grep -Eo '^[0-9]+ passed, [0-9]+ failed$' "$results/out" | tail -n 1)
    if [ -z "$counts" ] || { [ $code -ne 0 ] && [ "${counts##* passed, }" = "0 failed" ]; }; then
        failed=$((failed + 1))
        echo "FAIL  $name (ended with code $code)"
        tail -n 60 "$results/out"
        return
    fi
    passed=$((passed + ${counts%% *}))
    counts=${counts#* passed, }
    failed=$((failed + ${counts%% *}))
    echo "$([ "${counts%% *}" = 0 ] && echo ok || echo FAIL)    $name: $(tail -n 1 "$results/out")"
    [ "${counts%% *}" = 0 ] || grep -v ' : OK$' "$results/out" | tail -n 60
}

checkFormat() { sourceFiles | xargs clang-format --dry-run --Werror; }
checkCppcheck() {
    cppcheck --std=c++20 --language=c++ --enable=warning,performance,portability --inline-suppr \
        --suppress=missingIncludeSystem --suppress=unknownMacro --error-exitcode=1 --quiet -j "$(nproc)" \
        -I include -I src -i src/generated src platform tools tests benchmark
}

step "build" configureAndBuild build "" || true
step "clang-format" checkFormat
step "cppcheck" checkCppcheck
step "clang-tidy" bash tools/run/tidy.sh build
suite "tests" build/tests/comfreytests
suite "traffic tests" build/tests/traffic/traffictests
step "build with ASan and UBSan" configureAndBuild build-asan address,undefined comfreytests traffictests
suite "tests under ASan and UBSan" build-asan/tests/comfreytests
suite "traffic tests under ASan and UBSan" build-asan/tests/traffic/traffictests
if [ -f tests/threaded/CMakeLists.txt ]; then
    step "build with TSan" configureAndBuild build-tsan thread threadedtests
    suite "threaded tests under TSan" build-tsan/tests/threaded/threadedtests
    suite "threaded tests" build/tests/threaded/threadedtests
fi
for extra in tools/run/checks/*.sh; do
    [ -f "$extra" ] && suite "$(basename "$extra" .sh)" bash "$extra"
done
# Measures the memory of whole processes: by itself, after everything else.
suite "crowds" build/tests/crowd/crowdtests
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
