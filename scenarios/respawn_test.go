package scenarios

import (
	"sync"
	"time"
)

// respawner restarts processes that exit, as the operators of upstreams do.
type respawner struct {
	after time.Duration
	stop  chan struct{}

	running sync.WaitGroup
}

// verbRespawn is: respawn PROCESS... [after=500ms]. From then on the processes are restarted that
// long after they exit.
func verbRespawn(f *fleet, a *arguments) error {
	r := &respawner{after: a.duration("after", 500*time.Millisecond), stop: make(chan struct{})}
	if err := a.validate(1, anyNumber); err != nil {
		return err
	}
	found, err := f.findAllProcesses(a.words)
	if err != nil {
		return err
	}
	for _, d := range found {
		r.running.Go(func() { r.watch(d) })
	}
	f.respawners = append(f.respawners, r)
	return nil
}

func (r *respawner) watch(d *daemon) {
	for {
		select {
		case <-r.stop:
			return
		case <-d.Done():
		}
		select {
		case <-r.stop:
			return
		case <-time.After(r.after):
		}
		if err := d.Start(); err != nil {
			return // the script has restarted it
		}
	}
}

// end stops the restarts and waits for the respawner's goroutines.
func (r *respawner) end() {
	close(r.stop)
	r.running.Wait()
}
