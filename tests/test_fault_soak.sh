# Guards against the faults that the fault soak looks for, with one seed and few
# seconds of faults; make fault-soak SEED=n runs others.
exec sh soak/fault_soak.sh "${1:-build}" 1 6
