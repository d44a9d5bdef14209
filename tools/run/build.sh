# ./run build: installs what is missing and builds everything into build/.
set -eu
. tools/run/libsetup.sh
installPackages
configureAndBuild build ""
echo "built into build/"
