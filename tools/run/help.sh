# ./run help: lists the commands.
grep -h -m 1 '^# \./run' tools/run/*.sh | sed 's/^# //'
