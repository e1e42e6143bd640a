package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockplank/burdockplank/internal/child"
)

const (
	callersPort, readyPort, controlPort = 7001, 7002, 7003
	// readyPeriod is how often the balancer asks, missesOut how many misses in a row take a VM out.
	readyPeriod = 250 * time.Millisecond
	missesOut   = 2
)

// vm is one VM: its process and what the balancer thinks of it.
type vm struct {
	number   int
	ip, zone string
	process  *child.Process

	mu sync.Mutex
	// What follows is guarded by mu.
	ready bool
	// served is true once the newest start has counted as ready.
	served    bool
	misses    int
	starts    int
	disturbed []Span
	killed    []Span
	// busy is true while an event has the process in its hands.
	busy bool
}

// take reserves the process for one event; false where another has it.
func (v *vm) take() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy || !v.process.Running() {
		return false
	}
	v.busy = true
	return true
}

// release ends what take began.
func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

// newVM writes the settings of a VM. The seeds are the control addresses of all.
func newVM(number int, ip, zone, store string, seeds []string, program, dir string) (*vm, error) {
	name := fmt.Sprintf("vm-%d", number)
	file := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(`node_name = %q
ip = %q
zone = %q
seeds = ["%s"]
[listen]
frontend = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
memory_mb = 192
[bounds]
grace_period_s = %g
retry_budget_ratio = %g
retry_budget_slack = %d
retry_window_s = %g
config_apply_ms = %d
[platform]
address = %q
`, name, ip, zone, strings.Join(seeds, `", "`), ip, callersPort, ip, readyPort, ip, controlPort,
		graceBound.Seconds(), budgetRatio, budgetSlack, budgetWindow.Seconds(), configBound.Milliseconds(), store)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &vm{number: number, ip: ip, zone: zone, process: child.New(name, dir, program, "--settings", file)}, nil
}

func (v *vm) start() error {
	v.mu.Lock()
	v.starts++
	v.served = false
	v.mu.Unlock()
	return v.process.Start()
}

// disturb notes a time in which the VM was disturbed.
func (v *vm) disturb(s Span) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = append(v.disturbed, s)
}

// kill ends the process without notice.
func (v *vm) kill() error {
	v.mu.Lock()
	v.killed = append(v.killed, Span{time.Now(), time.Now(), "killed"})
	v.mu.Unlock()
	if v.process.Frozen() {
		if err := v.process.Wake(); err != nil {
			return err
		}
	}
	return v.process.Kill()
}

// stop ends the process in order and says how that went.
func (v *vm) stop() End {
	v.mu.Lock()
	e, served := End{VM: v.number, Start: v.starts, Asked: time.Now()}, v.served
	v.mu.Unlock()
	if err := v.process.Signal(syscall.SIGTERM); err != nil {
		e.Err = err.Error()
		return e
	}
	select {
	case <-v.process.Done():
		e.Err = endError(v.process.ExitState(), served)
	case <-time.After(graceBound + slack):
		e.Err = fmt.Sprintf("still runs %v after SIGTERM; killed", graceBound+slack)
		_ = v.kill()
	}
	return e
}

// endError says what is wrong with how a process ended after SIGTERM; empty for nothing. The signal may end
// one that has yet to take signals, and so has served nobody.
func endError(state *os.ProcessState, served bool) string {
	status, ok := state.Sys().(syscall.WaitStatus)
	if state.ExitCode() == 0 || ok && !served && status.Signaled() && status.Signal() == syscall.SIGTERM {
		return ""
	}
	return fmt.Sprintf("ended with %s", state)
}

// ask asks for readiness as the balancer does.
func (v *vm) ask(client *http.Client) {
	resp, err := client.Get("http://" + net.JoinHostPort(v.ip, fmt.Sprint(readyPort)) + "/-/readiness")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok {
		v.ready, v.served, v.misses = true, true, 0
		return
	}
	if v.misses++; v.misses >= missesOut {
		v.ready = false
	}
}

// pick implements fleet.
func (w *world) pick(rng *rand.Rand) (number, start int, address string, ok bool) {
	var ready []*vm
	for _, v := range w.vms {
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
	return v.number, v.starts, net.JoinHostPort(v.ip, fmt.Sprint(callersPort)), true
}
