package soak

import (
	"context"
	"fmt"
	"strings"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// startAgain crashes leaves and starts them again under their ids, at their places or, swapped, each at that of
// another replica of its service.
func (w *world) startAgain(ctx context.Context, places []*place, e Event) {
	p := places[0]
	service := p.serves()
	struck := []*place{p}
	if e.Fault == LeafSwap {
		struck = append(struck, w.otherReplica(p, service)...)
	}
	var emptied []*place
	var ids []string
	for _, s := range struck {
		leaf := s.empty()
		if leaf == nil {
			continue // gone by another event
		}
		leaf.Close()
		emptied, ids = append(emptied, s), append(ids, leaf.ID)
		defer w.lapse(ctx, leaf, e)()
	}
	wait.For(ctx, e.For)
	for i, id := range ids {
		at := emptied[len(ids)-1-i]
		if _, err := at.openAs(&w.past, service, id); err != nil {
			w.fail("%s at %s: %v", e.Fault, at.entry, err)
			continue
		}
		w.enter(at, "ready")
	}
}

// otherReplica returns one other place of the service that holds a leaf.
func (w *world) otherReplica(p *place, service string) []*place {
	for _, q := range w.placesOf(service) {
		if q != p && q.current() != nil {
			return []*place{q}
		}
	}
	return nil
}

// lapse removes the entry of a crashed leaf where it is away for longer than the store keeps it. It returns what
// waits for that.
func (w *world) lapse(ctx context.Context, leaf *hosted.Leaf, e Event) func() {
	if e.For <= entryLapse {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if wait.For(ctx, entryLapse) {
			w.store.RemoveLeaf(leaf)
		}
	}()
	return func() { <-done }
}

// foreignEntries are entries of another writer: none names a leaf to use, though each names the trap.
func foreignEntries(service, address string) map[string]string {
	good := `"version":"v1","warmup_remaining_ms":0,"sequence":1`
	entry := func(fields string) string {
		return fmt.Sprintf(`{"service":%q,%s}`, service, strings.ReplaceAll(fields, "TRAP", address))
	}
	return map[string]string{
		"state":    entry(`"address":"TRAP","zone":"az-1","slots":8,"state":"starting",` + good),
		"no-zone":  entry(`"address":"TRAP","slots":8,"state":"ready",` + good),
		"no-slots": entry(`"address":"TRAP","zone":"az-1","state":"ready",` + good),
		"text":     entry(`"address":"TRAP","zone":"az-1","slots":"8","state":"ready",` + good),
		"born":     entry(`"address":"TRAP","zone":"az-1","slots":8,"state":"ready","born":"today",` + good),
		"a/b":      entry(`"address":"TRAP","zone":"az-1","slots":8,"state":"ready",` + good),
		"huge":     entry(`"address":"TRAP","zone":"az-1","slots":8,"state":"ready","more":"` + strings.Repeat("x", 1<<18) + `",` + good),
		"bytes":    "\xff\x00\xfe",
	}
}

// writeForeign writes entries that no leaf wrote, for a service in use.
func (w *world) writeForeign(e Event) {
	for name, value := range foreignEntries(w.shardInForce(e), w.trap.Address()) {
		w.store.Put(hosted.ServerKey("foreign-"+name), value)
	}
}

// checkForeign: nothing is opened or sent to what no leaf's entry names.
func checkForeign(h *History, _ *index) []string { return h.Trapped }

// trapped tells what reached the trap.
func (w *world) trapped() []string {
	var out []string
	if n := w.trap.ConnectionsOpened(); n > 0 {
		out = append(out, fmt.Sprintf("%d connections were opened to an address that only foreign entries name", n))
	}
	for _, s := range w.trap.Requests() {
		out = append(out, fmt.Sprintf("request %s reached it", s.ID))
	}
	return out
}
