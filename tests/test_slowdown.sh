# Guards against important requests that are shed in the first seconds after a
# service became slower, before its limit has adapted: test_overload.sh with
# the count from that moment on.
SLOW_FROM_MS=5000 exec sh tests/test_overload.sh "${1:-build}"
