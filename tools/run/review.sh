# ./run review [CASE...]: plays the cases of review/ (all, or those named, e.g. 2 3), one after the
# other. TROUBLE=0 leaves out their disruptions. Ends with 0 only if every case held, but for those
# in KNOWN-RED.txt.
set -eu
. tools/run/libsetup.sh
installPackages
# As the build command of deploy/system.toml.
cmake -G Ninja -S . -B target -DCMAKE_BUILD_TYPE=Release \
    -DCMAKE_CXX_FLAGS_RELEASE='-O2 -DNDEBUG' >target.log 2>&1 \
    && cmake --build target --target comfrey-node >target.log 2>&1 \
    || { tail -n 60 target.log; exit 2; }
rm -f target.log
mkdir -p build
for script in review/build.sh review/build-2.sh; do
    bash "$script" >build/review.log 2>&1 || { tail -n 60 build/review.log; exit 2; }
done
[ $# -gt 0 ] || set -- 1 2 3 4 5 6 7 8 9 10
failures=0
for case in "$@"; do
    [ -f "review/$case/run.sh" ] || { echo "review: there is no case \"$case\"" >&2; exit 2; }
    code=0
    bash "review/$case/run.sh" || code=$?
    case $code in
    0) echo "review/$case: held" ;;
    1)
        if grep -q "^review/$case/run.sh " KNOWN-RED.txt; then
            echo "review/$case: known red (see KNOWN-RED.txt)"
            code=0
        else
            echo "review/$case: BROKEN"
        fi
        ;;
    *) echo "review/$case: could not run (exit code $code)" ;;
    esac
    [ "$code" -eq 0 ] || failures=$((failures + 1))
done
[ "$failures" -eq 0 ]
