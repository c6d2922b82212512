# Guards against names of the users' platform outside of platform/, where they
# would tie the product to one platform.
set -u
names='Cassiadale-(Request|Deadline|Target|Response|Tenant|Caller|Server|Not|Instance)'
names="$names|kv-(key|range|watch)|app-addr|rate-per-s|cold-left-s|op/config"
found=$(grep -rlE "$names" --include='*.c' --include='*.h' packages programs \
	bench soak standins fuzz 2>/dev/null)
[ -z "$found" ] || {
	echo "WRONG: names of the platform outside platform/: $found"
	exit 1
}
