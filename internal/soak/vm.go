package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/burdockplank/burdockplank/internal/child"
	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

const (
	callersPort, readyPort, controlPort = 7001, 7002, 7003
	// probePeriod is the interval and the timeout of the balancer's readiness probes. missThreshold is the number
	// of consecutive failed probes after which a VM no longer counts as ready.
	probePeriod   = 250 * time.Millisecond
	missThreshold = 2
)

// vm is one VM: its process and its state at the balancer.
type vm struct {
	number   int
	settings *deployment.Settings
	process  *child.Process

	mu sync.Mutex
	// The fields below are guarded by mu.
	ready bool
	// served is true once the latest start of the process has counted as ready.
	served    bool
	misses    int
	starts    int
	disturbed []Span
	killed    []Span
	// reserved is true while an event controls the process.
	reserved bool
}

// reserve reserves the process for one event. It returns false if another event has reserved it or it isn't running.
func (v *vm) reserve() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reserved || !v.process.Running() {
		return false
	}
	v.reserved = true
	return true
}

// release ends the reservation that reserve made.
func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reserved = false
}

// memoryBytes is the memory of a VM.
const memoryBytes = 192 << 20

// newVM completes the settings with the values that all VMs share, writes them to a file and returns the VM. Its
// process isn't started.
func newVM(number int, program, dir string, s *deployment.Settings) (*vm, error) {
	s.CallersAddress, s.ReadinessAddress, s.PeersAddress = hostPort(s.IP, callersPort), hostPort(s.IP, readyPort), hostPort(s.IP, controlPort)
	s.MemoryBytes, s.GracePeriod, s.ConfigApplyBound = memoryBytes, graceBound, configBound
	s.RetryBudget = retrybudget.Limit{Ratio: budgetRatio, Slack: budgetSlack, Window: budgetWindow}
	file := filepath.Join(dir, s.VMName+".toml")
	if err := hosted.WriteSettings(file, s); err != nil {
		return nil, err
	}
	return &vm{number: number, settings: s, process: child.New(s.VMName, dir, program, "--settings", file)}, nil
}

func (v *vm) start() error {
	v.mu.Lock()
	v.starts++
	v.served = false
	v.mu.Unlock()
	return v.process.Start()
}

// addDisturbance records a period in which the VM was disturbed.
func (v *vm) addDisturbance(s Span) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = append(v.disturbed, s)
}

// kill ends the process with SIGKILL and records the time.
func (v *vm) kill() error {
	v.mu.Lock()
	v.killed = append(v.killed, Span{time.Now(), time.Now(), "killed"})
	v.mu.Unlock()
	return v.process.Kill()
}

// stop terminates the process gracefully and returns how that went.
func (v *vm) stop() End {
	v.mu.Lock()
	e, served := End{VM: v.number, Start: v.starts, Asked: time.Now()}, v.served
	v.mu.Unlock()
	if err := v.process.Terminate(); err != nil {
		e.Err = err.Error()
		return e
	}
	if !v.process.WaitExit(graceBound + slack) {
		e.Err = fmt.Sprintf("still runs %v after SIGTERM (%s); killed", graceBound+slack, v.process.Status())
		_ = v.process.Signal(syscall.SIGQUIT) // its goroutines go to the log
		v.process.WaitExit(slack)
		_ = v.kill()
		return e
	}
	e.Err = endError(v.process.ExitState(), served)
	return e
}

// endError describes what is wrong with how a process ended after SIGTERM; it returns an empty string if nothing is.
// SIGTERM may end a process that has not installed its signal handler yet and so has served no request.
func endError(state *os.ProcessState, served bool) string {
	status, ok := state.Sys().(syscall.WaitStatus)
	if state.ExitCode() == 0 || ok && !served && status.Signaled() && status.Signal() == syscall.SIGTERM {
		return ""
	}
	return fmt.Sprintf("ended with %s", state)
}

// probe sends one readiness probe and updates the VM's state at the balancer.
func (v *vm) probe(client *http.Client) {
	ok := hosted.Ready(client, v.settings.ReadinessAddress)
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok {
		v.ready, v.served, v.misses = true, true, 0
		return
	}
	if v.misses++; v.misses >= missThreshold {
		v.ready = false
	}
}

// pick implements balancer. It picks among the ready VMs at random.
func (tb *testbed) pick(rng *rand.Rand) (number, start int, address string, ok bool) {
	var ready []*vm
	for _, v := range tb.vms {
		v.mu.Lock()
		if v.ready {
			ready = append(ready, v)
		}
		v.mu.Unlock()
	}
	if len(ready) == 0 {
		return 0, 0, "", false
	}
	v := ready[rng.IntN(len(ready))]
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.number, v.starts, v.settings.CallersAddress, true
}
