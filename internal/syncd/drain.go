package syncd

import (
	"context"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"

	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// drainCheckPeriod is how often the drain looks at the VM's processes.
	drainCheckPeriod = 100 * time.Millisecond
	// restartGracePeriod is how long the drain waits for a process of the VM to drain as well. Where none
	// does, the sync alone is restarted.
	restartGracePeriod = 2 * time.Second
)

// Drain stays as long as a process of the VM drains, for it needs the sync until its end, and tells
// the other VMs that this one leaves once none of its processes is ready.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	started := time.Now()
	for {
		now := time.Now()
		m.publishOwnState(now)
		busy := m.processes.any(now, pb.ProcessState_PROCESS_STATE_DRAINING)
		ready := m.processes.any(now, pb.ProcessState_PROCESS_STATE_READY, pb.ProcessState_PROCESS_STATE_STARTING)
		if !busy && (!ready || now.Sub(started) >= restartGracePeriod) {
			break
		}
		if !wait.For(ctx, drainCheckPeriod) {
			break
		}
	}
	m.spread.PushNow(time.Now())
}
