package clientconn

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	// budgetShare is the percentage of the process's memory for the default budget.
	budgetShare = 25
	// descriptorDivisor is the part of the process's descriptors that one listener may use.
	// An instance has up to three listeners beside the callers', and a request needs another
	// descriptor for its backend server.
	descriptorDivisor = 4
	// unknownDescriptors is used if the limit cannot be read. It is the usual soft limit.
	unknownDescriptors = 1024
)

// DefaultBudgetBytes is a quarter of the memory of the process: of the Go runtime's memory
// limit if one is set, else of the machine's memory. Zero, which means without limit, if
// neither is known.
func DefaultBudgetBytes() int64 {
	memory := debug.SetMemoryLimit(-1)
	if memory == math.MaxInt64 {
		var info unix.Sysinfo_t
		if unix.Sysinfo(&info) != nil {
			return 0
		}
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	return memory / 100 * budgetShare
}

// DefaultConnections is the default number of connections of one listener: a quarter of the
// descriptors that the process may open. The budget bounds them by memory.
func DefaultConnections() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return unknownDescriptors / descriptorDivisor
	}
	return int(min(limit.Cur, math.MaxInt32)) / descriptorDivisor
}
