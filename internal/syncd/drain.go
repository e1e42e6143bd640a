package syncd

import (
	"context"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"

	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// drainCheckPeriod is the interval at which the drain checks the VM's processes.
	drainCheckPeriod = 100 * time.Millisecond
	// restartGracePeriod is how long the drain waits for a process of the VM to start draining as
	// well. If none does, only the sync is being restarted.
	restartGracePeriod = 2 * time.Second
)

// Drain blocks while a process of the VM is draining, because that process needs the sync until it
// ends. Once none of the VM's processes is ready, the other VMs are notified that this one is
// leaving.
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
