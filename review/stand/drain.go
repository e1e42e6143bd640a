package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

const (
	// settleTime is how long after the start the scenario begins, so that as few machines as possible read the store.
	settleTime = 14 * time.Second
	// clientsPerMachine send one request each clientPeriod.
	clientsPerMachine, clientPeriod = 4, 100 * time.Millisecond
	// shedFrom and shedTo are when after the removal the other leaves reject requests, and shedShare how many of them.
	shedFrom, shedTo, shedShare = 3100 * time.Millisecond, 6 * time.Second, 0.6
	// servesOn is how long the leaf goes on serving after its removal.
	servesOn = 8 * time.Second
)

// drainAfterLostReaders shows the rule DRAIN. The machines that read the store lose power at the same moment, and a leaf
// leaves right after without reporting draining: its entry is removed and it serves on. The machines that weren't
// disturbed must send it nothing later than drain_timeout_ms after the removal.
func drainAfterLostReaders(ctx context.Context, w *world, trouble bool) error {
	var mu sync.Mutex
	var shedding bool
	busy := func(_ int, r *http.Request) hosted.Reply {
		mu.Lock()
		defer mu.Unlock()
		return hosted.Reply{Delay: 15 * time.Millisecond, Refuse: shedding && rand.Float64() < shedShare, Body: []byte("card")}
	}
	calm := func(int, *http.Request) hosted.Reply {
		return hosted.Reply{Delay: 15 * time.Millisecond, Body: []byte("card")}
	}
	for i, id := range []string{"i-a", "i-b"} {
		if _, err := w.startLeaf(id, "school-portal", zones[i], 6, busy); err != nil {
			return err
		}
	}
	leaving, err := w.startLeaf("i-c", "school-portal", zones[2], 6, calm)
	if err != nil {
		return err
	}
	routes := []map[string]any{{
		"name": "teacher-card", "host": "cards.example", "prefix": "/card/", "kind": "idempotent", "service": "school-portal",
		"timeout_ms": 4000, "target_latency_ms": 600, "max_attempts": 3, "priority": 2,
	}}
	services := []map[string]any{{"name": "school-portal", "health_check_path": "/health", "connection_limit": 96, "protocol": "h1"}}
	w.configure(11, routes, services)
	if err := w.startMachines(ctx); err != nil {
		return err
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopClients()
	via := make(map[string]*machine)
	for _, m := range w.machines {
		for i := range clientsPerMachine {
			c := &client{w: w, machine: m, name: fmt.Sprintf("%s-c%d", m.name, i)}
			clients.Go(func() {
				defer c.drop()
				for sleep(clientsCtx, clientPeriod) {
					id, _ := c.send("GET", "cards.example", "/card/"+c.name, 4*time.Second)
					mu.Lock()
					via[id] = m
					mu.Unlock()
				}
			})
		}
	}
	if !sleep(ctx, settleTime) {
		return ctx.Err()
	}
	readers, err := awaitFewReaders(ctx, w)
	if err != nil {
		return err
	}
	w.note("the store is read by %v", readers)
	// A change of the configuration that concerns no request: the store has just answered its readers.
	w.configure(14, append(routes, map[string]any{
		"name": "idle", "host": "cards.example", "prefix": "/idle/", "kind": "idempotent", "service": "school-portal",
		"timeout_ms": 4000, "target_latency_ms": 600, "max_attempts": 3, "priority": 2,
	}), services)
	w.note("configuration 14 acknowledged")
	sleep(ctx, 100*time.Millisecond)
	if trouble {
		var killed sync.WaitGroup
		for _, m := range w.machines {
			if slices.Contains(readers, m.ip) {
				w.note("%s loses power: SIGKILL", m.name)
				killed.Go(func() {
					w.end(m, syscall.SIGKILL)
					sleep(ctx, darkTime)
					w.note("%s starts again", m.name)
					_ = w.start(m)
				})
			}
		}
		defer killed.Wait()
	}
	sleep(ctx, 50*time.Millisecond)
	w.store.remove("servers/i-c")
	removed := time.Now()
	w.note("the removal of servers/i-c is acknowledged; the leaf serves on for %v", servesOn)
	sleep(ctx, shedFrom)
	w.note("i-a and i-b reject %.0f%% of their requests", 100*shedShare)
	mu.Lock()
	shedding = true
	mu.Unlock()
	sleep(ctx, shedTo-shedFrom)
	mu.Lock()
	shedding = false
	mu.Unlock()
	w.note("i-a and i-b reject nothing")
	sleep(ctx, servesOn-shedTo)
	stopClients()
	clients.Wait()
	return judgeDrain(w, leaving, removed, via)
}

// awaitFewReaders waits until at most half of the machines read the store, and returns their IP addresses.
func awaitFewReaders(ctx context.Context, w *world) ([]string, error) {
	for range 200 {
		if r := w.store.readers(); len(r) > 0 && len(r) <= len(w.machines)/2 {
			return r, nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return nil, ctx.Err()
		}
	}
	return nil, fmt.Errorf("more than half of the machines read the store: %v", w.store.readers())
}

// judgeDrain reports the requests that reached the leaf later than drain_timeout_ms after its removal, sent on by
// machines that weren't disturbed for contact_timeout_ms before the removal and since.
func judgeDrain(w *world, leaf *hosted.Leaf, removed time.Time, via map[string]*machine) error {
	late, latest := 0, time.Duration(0)
	for _, r := range leaf.Requests() {
		after := r.At.Sub(removed)
		m := via[r.ID]
		if m == nil || after < 0 {
			continue
		}
		w.note("request %s reached i-c %.3f s after its removal, by %s, run %v", r.ID, after.Seconds(), m.name, r.Ran)
		if after <= drainTimeout || !r.Ran || m.disturbedAt.After(removed.Add(-contactTimeout)) {
			continue
		}
		late, latest = late+1, max(latest, after)
	}
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached i-c later than %v after its removal, the last one %.3f s after", errBroken, late, drainTimeout, latest.Seconds())
	}
	return nil
}
