package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

const (
	// crashMark begins the last part of the path of requests that end each leaf that begins to run them.
	crashMark = "ends-its-leaf-"
	// cardWork is the time that a leaf works on a sound request, below the largest of the sheet (960 ms).
	cardWork = 900 * time.Millisecond
	// leafDown is how long a leaf is away after a crash. Its entry stays for another 0.6 s.
	leafDown = 3 * time.Second
)

// crashWorld is a service whose leaves some requests end.
type crashWorld struct {
	w *world

	mu     sync.Mutex
	leaves []*hosted.Leaf
	// alive holds the leaves that have not ended.
	alive map[*hosted.Leaf]bool
	// ends holds the ends of leaves by the target of the request.
	ends map[string][]time.Time
}

// startLeaf starts a leaf under a new id.
func (x *crashWorld) startLeaf(zone int) *hosted.Leaf {
	x.mu.Lock()
	defer x.mu.Unlock()
	id := fmt.Sprintf("i-card-%03d", len(x.leaves)+1)
	var l *hosted.Leaf
	l = hosted.NewLeaf(id, 6, func(_ int, r *http.Request) hosted.Reply {
		target := r.RequestURI
		if !strings.Contains(target, crashMark) {
			return hosted.Reply{Delay: cardWork, Body: []byte("card")}
		}
		return hosted.Reply{End: &hosted.End{Reset: true, Ended: func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			delete(x.alive, l)
			x.ends[target] = append(x.ends[target], time.Now())
			x.w.note("leaf %s ended under %s", id, target)
			go x.replace(l, zone)
		}}}
	})
	x.leaves = append(x.leaves, l)
	x.alive[l] = true
	x.w.store.PutLeaf(l, "school-portal", zones[zone], "ready", l.Address())
	return l
}

// replace starts another leaf in place of one that has ended.
func (x *crashWorld) replace(l *hosted.Leaf, zone int) {
	time.Sleep(leafDown)
	x.startLeaf(zone)
	time.Sleep(600 * time.Millisecond)
	x.w.store.RemoveLeaf(l)
}

// crash ends a leaf that runs, without any request that does so.
func (x *crashWorld) crash(zone int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.leaves {
		if x.alive[l] {
			delete(x.alive, l)
			x.w.note("leaf %s crashes by itself", l.ID)
			go l.Close()
			go x.replace(l, zone)
			return
		}
	}
}

// retries returns when each request for the target, which is one client attempt, first began to run at a leaf later than the
// time, in order. Arrivals that a leaf refused, and the second leaf of an attempt, don't count.
func (x *crashWorld) retries(target string, later time.Time) []time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := make(map[string]time.Time)
	for _, l := range x.leaves {
		for _, q := range l.Requests() {
			at, known := first[q.ID]
			if q.Target == target && q.Ran && q.At.After(later) && (!known || q.At.Before(at)) {
				first[q.ID] = q.At
			}
		}
	}
	return slices.SortedFunc(maps.Values(first), time.Time.Compare)
}

// playCrash: a leaf crashes by itself. A little later a request that ends the leaves that run it comes, four times at once
// and then again and again, while many callers ask for the same card. Three such rounds, each with another request. Rule
// BUDGET.
func playCrash(w *world, trouble bool) (bool, error) {
	const (
		rounds      = 3
		roundLength = 32 * time.Second
		atOnce      = 4
		again       = 20
		againEvery  = 800 * time.Millisecond
		contact     = 4 * time.Second
		crashes     = 3
		retries     = 3
	)
	x := &crashWorld{w: w, alive: make(map[*hosted.Leaf]bool), ends: make(map[string][]time.Time)}
	for i := range 10 {
		x.startLeaf(i % len(zones))
	}
	w.store.Configure(hosted.Config{
		Version: 7, Services: []string{"school-portal"}, Connections: 96,
		Routes: []hosted.Route{{Name: "teacher-card", Host: host, Prefix: "/goka902/", Idempotent: true, Timeout: 4 * time.Second, TargetLatency: 600 * time.Millisecond, Priority: 2, MaxAttempts: 2, Service: "school-portal"}},
	})
	if err := w.addVMs(6, func(int) string { return w.store.Address() }); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	var senders sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[int]int)
	stop := make(chan struct{})
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(22 * time.Millisecond): // 45 a second
			}
			senders.Go(func() {
				r := sendNew(w.vms[i%len(w.vms)].callers, &hosted.Request{ID: newID(), Method: "GET", Host: host, Target: "/goka902/today", Timeout: 4 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				counts[r.status]++
			})
		}
	})
	time.Sleep(6 * time.Second)
	for round := range rounds {
		end := time.Now().Add(roundLength)
		if trouble {
			x.crash(round)
			time.Sleep(1500 * time.Millisecond)
			for i := range atOnce + again {
				if i >= atOnce {
					time.Sleep(againEvery)
				}
				v := w.vms[i%len(w.vms)]
				senders.Go(func() {
					r := sendNew(v.callers, &hosted.Request{ID: newID(), Method: "GET", Host: host, Target: target(round), Timeout: 4 * time.Second})
					w.note("%s at %s: %s", target(round), v.name, r)
				})
			}
		}
		time.Sleep(time.Until(end))
	}
	close(stop)
	senders.Wait()
	isBroken := false
	for round := range rounds {
		x.mu.Lock()
		ends := x.ends[target(round)]
		x.mu.Unlock()
		late := 0
		if len(ends) >= crashes {
			late = len(x.retries(target(round), ends[crashes-1].Add(contact)))
		}
		w.note("%s ended %d leaves; %d client attempts ran at leaves later than contact_timeout_ms after the third end, %d are allowed",
			target(round), len(ends), late, retries)
		isBroken = isBroken || late > retries
	}
	w.note("answers to the sound requests by status: %v", counts)
	return isBroken, nil
}

// target returns the target of the request of a round that ends leaves.
func target(round int) string { return fmt.Sprintf("/goka902/%s%d", crashMark, round) }
