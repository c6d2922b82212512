# Guards against header fields, paths and settings of the users' platform in
# sources outside platform/: only that folder may depend on one platform.
set -u
names='Cassiadale-(Request|Deadline|Target|Response|Tenant|Caller|Server|Not|Instance)'
names="$names|kv-(key|range|watch)|app-addr|rate-per-s|cold-left-s|op/config"
found=$(grep -rlE "$names" --include='*.c' --include='*.h' packages programs \
	bench soak standins fuzz 2>/dev/null)
[ -z "$found" ] || {
	echo "FAIL: names of the platform outside platform/: $found"
	exit 1
}
