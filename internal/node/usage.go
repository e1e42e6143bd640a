package node

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used so far, or 0 where the system does not say.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
