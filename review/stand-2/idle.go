package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// sockets is what the platform leaves of the 4,100 descriptors of a process for sockets and pipes.
const sockets = 3900

// playIdle: one of the two VMs of a zone is lost. The callers of the zone open a connection for each request and leave it to
// the system to close it at the idle limit of the configuration. Rule CONFIG.
func playIdle(w *world, trouble bool) (bool, error) {
	const (
		perSecond = 84.4 // of the zone hofdi
		lasts     = 62 * time.Second
		timeout   = 4 * time.Second // of the route teacher-card
		late      = 500 * time.Millisecond
		minimum   = 8
	)
	const ownSockets = 8000 // of the stand-ins: the callers' ends, the leaves' and the store's
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < ownSockets {
		return false, fmt.Errorf("the stand-ins need %d descriptors, %d are allowed", ownSockets, own.Cur)
	}
	record := func(int, *http.Request) hosted.Reply {
		var b bytes.Buffer
		for range 12 {
			_ = binary.Write(&b, binary.BigEndian, [2]uint64{rand.Uint64(), rand.Uint64()})
		}
		return hosted.Reply{Delay: 10 * time.Millisecond, Body: b.Bytes()}
	}
	card := func(int, *http.Request) hosted.Reply {
		return hosted.Reply{Delay: 160 * time.Millisecond, Body: bytes.Repeat([]byte("c"), 6000)}
	}
	var shards []string
	for i := range 10 {
		shards = append(shards, fmt.Sprintf("shard%d", i))
	}
	for _, s := range shards {
		for i := range 3 {
			l := hosted.NewLeaf(fmt.Sprintf("i-%s-%d", s, i), 3, record)
			defer l.Close()
			w.store.PutLeaf(l, s, zones[i], "ready", l.Address())
		}
	}
	for i := range 10 {
		l := hosted.NewLeaf(fmt.Sprintf("i-card-%d", i), 6, card)
		defer l.Close()
		w.store.PutLeaf(l, "school-portal", zones[i%len(zones)], "ready", l.Address())
	}
	w.store.Configure(hosted.Config{
		Version: 7, Services: append(shards, "school-portal"), Connections: 96,
		Routes: []hosted.Route{
			{Name: "pool-match", Host: host, Prefix: "/rany330/", Idempotent: true, Timeout: 800 * time.Millisecond, TargetLatency: 150 * time.Millisecond, Priority: 1, MaxAttempts: 2, Shards: shards, TopK: 10, MinShardShare: 0.89},
			{Name: "teacher-card", Host: host, Prefix: "/goka902/", Timeout: timeout, TargetLatency: 600 * time.Millisecond, Priority: 2, MaxAttempts: 2, Service: "school-portal"},
		},
	})
	if err := w.addVMs(6, func(int) string { return w.store.Address() }); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	for _, v := range w.vms {
		if err := v.limitSockets(); err != nil {
			return false, err
		}
	}
	if trouble {
		w.vms[3].signal(syscall.SIGKILL)
		w.note("%s is lost and stays down", w.vms[3].name)
	}
	b := newBalancer(w)
	defer b.stop()
	c := &idleCallers{w: w, b: b}
	defer c.closeConns()
	begun := time.Now()
	var senders sync.WaitGroup
	for i := 0; time.Since(begun) < lasts; i++ {
		time.Sleep(time.Until(begun.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		senders.Go(func() { c.call(i, timeout) })
	}
	senders.Wait()
	unanswered, stillUnanswered := 0, 0
	for _, r := range c.results {
		timeout := r.timeout
		if trouble && r.at == w.vms[3].name {
			continue // not in touch
		}
		if r.status == 0 && r.err != nil && r.ended.Sub(r.sent) < timeout {
			continue // the connection ended, or none was made
		}
		if r.status != 0 && r.ended.Sub(r.sent) <= timeout {
			continue
		}
		unanswered++
		if r.status == 0 || r.ended.Sub(r.sent) > timeout+late {
			stillUnanswered++
			w.noteAt(r.sent, "request %s at %s, timeout_ms %d: %s", r.id, r.at, timeout.Milliseconds(), r)
		}
	}
	w.note("answers by route and status: %v", c.counts)
	w.note("unanswered at timeout_ms, at VMs in touch: %d, of these without an answer half a second later: %d", unanswered, stillUnanswered)
	return unanswered >= minimum && 2*stillUnanswered > unanswered, nil
}

// limitSockets gives the process the platform's limit of descriptors.
func (v *vm) limitSockets() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	return unix.Prlimit(v.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// balancer is the platform's: it gives new connections of the zone hofdi to its VMs that are in rotation, or to those of the
// other zones if there is none.
type balancer struct {
	w    *world
	quit chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	misses map[*vm]int
	next   int
}

func newBalancer(w *world) *balancer {
	b := &balancer{w: w, quit: make(chan struct{}), misses: make(map[*vm]int)}
	for _, v := range w.vms {
		b.done.Go(func() { b.check(v) })
	}
	return b
}

func (b *balancer) check(v *vm) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ok := hosted.Ready(client, v.ready)
		b.mu.Lock()
		if ok {
			b.misses[v] = 0
		} else if b.misses[v]++; b.misses[v] == 2 {
			b.w.note("the balancer takes %s out of rotation", v.name)
		}
		b.mu.Unlock()
		select {
		case <-b.quit:
			return
		case <-time.After(time.Second):
		}
	}
}

func (b *balancer) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	for _, own := range []bool{true, false} {
		var in []*vm
		for _, v := range b.w.vms {
			if (v.zone == zones[0]) == own && b.misses[v] < 2 {
				in = append(in, v)
			}
		}
		if len(in) > 0 {
			return in[b.next%len(in)]
		}
	}
	return b.w.vms[0]
}

func (b *balancer) stop() {
	close(b.quit)
	b.done.Wait()
}

// idleCallers send each request on a connection of its own, which they leave open.
type idleCallers struct {
	w *world
	b *balancer

	mu      sync.Mutex
	conns   []net.Conn
	counts  map[string]int
	results []*result
}

func (c *idleCallers) call(i int, timeout time.Duration) {
	v := c.b.pick()
	q := &hosted.Request{ID: newID(), Method: "GET", Host: host, Target: fmt.Sprintf("/rany330/%d", i), Timeout: 800 * time.Millisecond}
	single := i%5 == 0
	if single {
		q.Method, q.Target, q.Timeout, q.Body = "POST", fmt.Sprintf("/goka902/%d", i), timeout, "one card"
	}
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	r := &result{id: q.ID, at: v.name, sent: time.Now(), ended: time.Now(), err: err}
	if err == nil {
		r = send(conn, q)
		r.at = v.name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn != nil {
		c.conns = append(c.conns, conn)
	}
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[fmt.Sprintf("%s %d", map[bool]string{true: "teacher-card", false: "pool-match"}[single], r.status)]++
	r.timeout = q.Timeout
	c.results = append(c.results, r)
}

func (c *idleCallers) closeConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
