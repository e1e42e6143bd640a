package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// playSilent: one VM of each zone is lost. Later the open connections of the VMs to the store go silent for good, while new ones work. Right after that the
// entries of two leaves are removed, which go on serving. Rule DRAIN.
func playSilent(w *world, trouble bool) (bool, error) {
	const (
		drainTimeout = 3 * time.Second
		contact      = 4 * time.Second
		removeAfter  = 200 * time.Millisecond
		watched      = 7 * time.Second
		period       = 25 * time.Millisecond
		deadline     = 4 * time.Second
	)
	script := func(int, *http.Request) hosted.Reply {
		// 160 ms of work on average, spread by half.
		return hosted.Reply{Delay: time.Duration(float64(160*time.Millisecond) * max(0.3, 1+0.5*rand.NormFloat64())), Body: []byte("card")}
	}
	var leaves []*hosted.Leaf
	for i := range 3 {
		l := hosted.NewLeaf(fmt.Sprintf("i-log%d", i), 6, script)
		defer l.Close()
		leaves = append(leaves, l)
		w.store.PutLeaf(l, "vetting-log", zones[i%len(zones)], "ready", l.Address())
	}
	other := hosted.NewLeaf("i-card", 6, script)
	defer other.Close()
	w.store.PutLeaf(other, "school-portal", zones[2], "ready", other.Address())
	w.store.Configure(hosted.Config{
		Version: 7, Services: []string{"vetting-log", "school-portal"}, Connections: 96,
		Routes: []hosted.Route{{Name: "teacher-card", Host: host, Prefix: "/goka902/", Idempotent: true, Timeout: deadline, TargetLatency: 600 * time.Millisecond, Priority: 2, MaxAttempts: 2, Service: "vetting-log"}},
	})
	var proxies []*proxy
	for range zones {
		p, err := newProxy(w.store.Address())
		if err != nil {
			return false, err
		}
		defer p.close()
		proxies = append(proxies, p)
	}
	if err := w.addVMs(6, func(i int) string { return proxies[i%len(proxies)].address() }); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	up := w.vms
	if trouble {
		for _, v := range w.vms[3:] {
			v.signal(syscall.SIGKILL)
		}
		up = w.vms[:3]
		w.note("one VM of each zone is lost and stays down")
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	counts, sentAt := make(map[string]int), make(map[string]time.Time)
	var mu sync.Mutex
	begin := func() {
		senders.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(period):
				}
				senders.Go(func() {
					r := sendNew(up[i%len(up)].callers, &hosted.Request{ID: newID(), Method: "GET", Host: host, Target: fmt.Sprintf("/goka902/%d", i), Timeout: deadline})
					mu.Lock()
					defer mu.Unlock()
					counts[fmt.Sprint(r.status)]++
					sentAt[r.id] = r.sent
				})
			}
		})
	}
	begin()
	time.Sleep(8 * time.Second)
	// A heartbeat of another leaf, which all VMs read.
	w.store.PutLeaf(other, "school-portal", zones[2], "ready", other.Address())
	w.note("a leaf of another service wrote its entry again")
	time.Sleep(50 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		n := 0
		for _, p := range proxies {
			n += p.silence()
		}
		silentAt = time.Now()
		w.note("%d open connections to the store have gone silent; new ones work", n)
	}
	time.Sleep(removeAfter)
	var removed [2]time.Time
	for i, l := range leaves[:2] {
		w.store.RemoveLeaf(l)
		removed[i] = time.Now()
		w.note("the store removes the entry of leaf %s, which goes on serving", l.ID)
	}
	time.Sleep(watched)
	close(stop)
	senders.Wait()
	late, last := 0, time.Duration(0)
	for i, l := range leaves[:2] {
		for _, q := range l.Requests() {
			after, taken := q.At.Sub(removed[i]), sentAt[q.ID]
			if q.HealthCheck() || after <= 0 {
				continue
			}
			last = max(last, after)
			if after > drainTimeout && (!trouble || taken.Sub(silentAt) > contact) {
				late++
				w.noteAt(q.At, "request %s, sent by its caller %.3f s after the connections went silent, reaches leaf %s %.3f s after the removal", q.ID, taken.Sub(silentAt).Seconds(), l.ID, after.Seconds())
			}
		}
	}
	w.note("answers by status: %v", counts)
	w.note("the latest request reached a removed leaf %.3f s after the removal; %d did later than drain_timeout_ms, from VMs in touch", last.Seconds(), late)
	return late > 0, nil
}
