package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// playSeeds: all VMs lose power. Those that the seeds name stay down, the three others come back, one in each zone. Later
// leaves of a service refuse a part of their requests. Rule BUDGET.
func playSeeds(w *world, trouble bool) (bool, error) {
	const (
		ratio, slack = 0.2, 52
		window       = 10 * time.Second
		calm         = 11 * time.Second // after the return: longer than the window of the retry budget
		grey         = 9 * time.Second
		period       = 22 * time.Millisecond // 45 a second
		work         = 160 * time.Millisecond
		deadline     = 4 * time.Second
	)
	var mu sync.Mutex
	greyOn := false
	script := func(int, *http.Request) hosted.Reply {
		mu.Lock()
		defer mu.Unlock()
		if greyOn && rand.Float64() < 0.6 {
			return hosted.Reply{Refuse: true}
		}
		return hosted.Reply{Delay: work, Body: []byte("card")}
	}
	sound := func(int, *http.Request) hosted.Reply { return hosted.Reply{Delay: work, Body: []byte("card")} }
	var leaves []*hosted.Leaf
	for i := range 5 {
		s := script
		if i == 4 {
			s = sound
		}
		l := hosted.NewLeaf(fmt.Sprintf("i-log%d", i), 6, s)
		defer l.Close()
		leaves = append(leaves, l)
		w.store.PutLeaf(l, "vetting-log", zones[i%len(zones)], "ready", l.Address())
	}
	w.store.Configure(hosted.Config{
		Version: 7, Services: []string{"vetting-log"}, Connections: 96,
		Routes: []hosted.Route{{Name: "teacher-card", Host: host, Prefix: "/goka902/", Idempotent: true, Timeout: deadline, TargetLatency: 600 * time.Millisecond, Priority: 2, MaxAttempts: 2, Service: "vetting-log"}},
	})
	if err := w.addVMs(6, func(int) string { return w.store.Address() }); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	up := w.vms
	if trouble {
		for _, v := range w.vms {
			v.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		up = w.vms[3:]
		for _, v := range up {
			if err := v.start(); err != nil {
				return false, err
			}
		}
		w.note("the VMs that the seeds name stay down")
	}
	var sent []time.Time
	counts := make(map[int]int)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(period):
			}
			mu.Lock()
			sent = append(sent, time.Now())
			mu.Unlock()
			senders.Go(func() {
				r := sendNew(up[i%len(up)].callers, &hosted.Request{ID: newID(), Method: "GET", Host: host, Target: fmt.Sprintf("/goka902/%d", i), Timeout: deadline})
				mu.Lock()
				defer mu.Unlock()
				counts[r.status]++
			})
		}
	})
	setGrey := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		greyOn = on
		w.note("4 of 5 leaves refuse 0.6 of their requests: %v", on)
	}
	time.Sleep(calm)
	setGrey(true)
	time.Sleep(grey)
	setGrey(false)
	time.Sleep(time.Second)
	close(stop)
	senders.Wait()
	return w.checkBudget(leaves, sent, ratio, slack, window, counts), nil
}

// checkBudget checks the retry budget of a service in all windows that end with an arrival.
func (w *world) checkBudget(leaves []*hosted.Leaf, sent []time.Time, ratio, slack float64, window time.Duration, counts map[int]int) bool {
	first := make(map[string]time.Time)
	var arrivals []hosted.ReceivedRequest
	for _, l := range leaves {
		arrivals = append(arrivals, l.Requests()...)
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	var extra []time.Time
	for _, a := range arrivals {
		if a.HealthCheck() {
			continue
		}
		if _, known := first[a.ID]; known {
			extra = append(extra, a.At)
			continue
		}
		first[a.ID] = a.At
	}
	within := func(list []time.Time, from, to time.Time) int {
		n := 0
		for _, at := range list {
			if at.After(from) && !at.After(to) {
				n++
			}
		}
		return n
	}
	worst, line := 0.0, "no extra arrivals"
	for _, end := range extra {
		begin := end.Add(-window)
		requests := max(within(sent, begin, end), within(sent, begin.Add(-window), begin), within(sent, begin.Add(-window/2), begin.Add(window/2)))
		allowed := ratio*float64(requests) + slack
		if n := float64(within(extra, begin, end)); n/allowed > worst {
			worst = n / allowed
			line = fmt.Sprintf("%.0f arrivals beyond the first in the 10 s to %.1f s, with %d requests: %.0f are allowed", n, end.Sub(w.begun).Seconds(), requests, allowed)
		}
	}
	w.note("answers by status: %v; requests %d, arrivals beyond the first %d", counts, len(sent), len(extra))
	w.note("worst window: %s", line)
	return worst > 1
}
