package process

import (
	"os"
	"runtime"
)

// threadsLeast is on how many threads a process runs Go code at least. With one, as the runtime chooses on a VM of one
// core, nothing is read from the network while goroutines are ready to run: a VM that sends 135 calls reads the next
// search up to 10 ms late (BenchmarkReadWhileBusy). With two the kernel lets the thread that waits for the network
// run as soon as something comes.
const threadsLeast = 2

// SetThreads lets Go code run on enough threads, unless the environment says on how many.
func SetThreads() {
	if os.Getenv("GOMAXPROCS") != "" {
		return
	}
	if runtime.GOMAXPROCS(0) < threadsLeast {
		runtime.GOMAXPROCS(threadsLeast)
	}
}
