# Guards against important requests that are shed in the first seconds after a
# service becomes slower, before its concurrency limit has adapted. Runs
# test_overload.sh, but counts from the moment when the service becomes slow.
SLOW_FROM_MS=5000 exec sh tests/test_overload.sh "${1:-build}"
