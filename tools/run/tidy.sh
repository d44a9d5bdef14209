# ./run tidy [FOLDER]: clang-tidy over every source file that build FOLDER compiles. A file whose
# preprocessed text was clean before is skipped.
set -eu
. tools/run/libsetup.sh
folder=${1:-build}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/comfreylanding-tidy
mkdir -p "$cache"
export folder cache
checkOne() {
    local file=$1 entry key
    entry=$(jq -r --arg f "$PWD/$file" '.[] | select(.file == $f) | .command' "$folder/compile_commands.json" | head -n 1)
    [ -z "$entry" ] && return 0
    key=$( { cat .clang-tidy; (cd "$folder" && ${entry%% -o *} -E -P "$OLDPWD/$file") 2>/dev/null; } | sha256sum | cut -d' ' -f1)
    [ -f "$cache/$key" ] && return 0
    clang-tidy -p "$folder" --quiet "$file" 2>/dev/null || { echo "clang-tidy: $file is not clean"; return 1; }
    touch "$cache/$key"
}
export -f checkOne
sourceFiles | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'checkOne {}'
