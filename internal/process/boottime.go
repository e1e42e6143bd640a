package process

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the boot of the VM. It is the same for all processes of a VM, goes on
// while they are paused or the VM is suspended, and is never set.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux kernel since 2.6.39 has the clock
	}
	return time.Duration(t.Nano())
}
