package main

import (
	"syscall"
	"unsafe"
)

// onCore runs start with its thread bound to one core, which a process started there inherits: the
// machines have one core. The caller's goroutine must be locked to its thread.
func onCore(core int, start func() error) error {
	var before, one [16]uint64
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(before), uintptr(unsafe.Pointer(&before))); errno != 0 {
		return errno
	}
	seen := 0
	for n := range len(before) * 64 {
		if before[n/64]&(1<<(n%64)) == 0 {
			continue
		}
		if seen == core {
			one[n/64] = 1 << (n % 64)
		}
		seen++
	}
	if seen > core {
		if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one))); errno != 0 {
			return errno
		}
		defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(before), uintptr(unsafe.Pointer(&before)))
	}
	return start()
}
