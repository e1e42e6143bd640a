package soak

import (
	"context"
	"fmt"
	"strings"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// restartLeaves crashes the leaf of the first placement and restarts it under the same id at the same placement. For
// LeafSwap it also crashes another replica of the service, and each of the two restarts at the other's placement.
func (tb *testbed) restartLeaves(ctx context.Context, placements []*placement, e Event) {
	p := placements[0]
	service := p.currentService()
	affected := []*placement{p}
	if e.Fault == LeafSwap {
		affected = append(affected, tb.otherReplica(p, service)...)
	}
	var vacated []*placement
	var ids []string
	for _, s := range affected {
		leaf := s.takeLeaf()
		if leaf == nil {
			continue // removed by another event
		}
		leaf.Close()
		vacated, ids = append(vacated, s), append(ids, leaf.ID)
		defer tb.expireEntry(ctx, leaf, e)()
	}
	wait.For(ctx, e.For)
	for i, id := range ids {
		at := vacated[len(ids)-1-i]
		if _, err := at.startLeafAs(&tb.started, service, id); err != nil {
			tb.fail("%s at %s: %v", e.Fault, at.entry, err)
			continue
		}
		tb.writeEntry(at, "ready")
	}
}

// otherReplica returns one other placement of the service that has a leaf, or nil.
func (tb *testbed) otherReplica(p *placement, service string) []*placement {
	for _, q := range tb.placementsOf(service) {
		if q != p && q.current() != nil {
			return []*placement{q}
		}
	}
	return nil
}

// expireEntry removes the entry of a crashed leaf after entryTTL if the leaf stays down longer than that. The returned
// function waits for the removal.
func (tb *testbed) expireEntry(ctx context.Context, leaf *hosted.Leaf, e Event) func() {
	if e.For <= entryTTL {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if wait.For(ctx, entryTTL) {
			tb.store.RemoveLeaf(leaf)
		}
	}()
	return func() { <-done }
}

// foreignEntries returns store entries, by name, that a foreign writer could leave. None describes a usable leaf, but
// all except the undecodable one contain the trap's address.
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

// writeForeign writes entries that no leaf wrote, for a shard that searches use.
func (tb *testbed) writeForeign(e Event) {
	for name, value := range foreignEntries(tb.shardInForce(e), tb.trap.Address()) {
		tb.store.Put(hosted.ServerKey("foreign-"+name), value)
	}
}

// checkForeign reports connections and requests to an address that no leaf's entry names.
func checkForeign(h *History, _ *index) []string { return h.Trapped }

// trapped describes the connections and requests that reached the trap.
func (tb *testbed) trapped() []string {
	var out []string
	if n := tb.trap.ConnectionsOpened(); n > 0 {
		out = append(out, fmt.Sprintf("%d connections were opened to an address that only foreign entries name", n))
	}
	for _, s := range tb.trap.Requests() {
		out = append(out, fmt.Sprintf("request %s reached it", s.ID))
	}
	return out
}
