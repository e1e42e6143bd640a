package capacity

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/platform"
)

const (
	// pollInterval is the time between two checks whether a version is in force at all VMs.
	pollInterval = 20 * time.Millisecond
	// startInterval is the time between two starts of VMs, so that not all request all sections from the first
	// ones.
	startInterval = 10 * time.Millisecond
	// firstHost is the host number of the first VM. The lower numbers are reserved for the platform.
	firstHost = 256
)

// fleet holds the sync processes of a run and their platform.
type fleet struct {
	net, zones int
	key        ed25519.PrivateKey
	platform   *platform.Platform
	// sink receives and discards the packets sent across a cut.
	sink *net.UDPConn
	// cut is true while the VMs of az-1 are cut off from the others.
	cut atomic.Bool

	mu sync.Mutex
	// nodes, zoneOf (keyed by IP:PORT) and nextNumber are guarded by mu.
	nodes      []*node
	zoneOf     map[string]string
	nextNumber int
	// stoppedTotals holds the final counters of stopped VMs. It is guarded by mu.
	stoppedTotals totals
	version       uint64
}

// totals holds sums over all VMs: bytes and packets sent and received, platform reads, and calls made.
type totals struct {
	bytes, reads   float64
	packets, calls int64
}

// newFleet starts the platform, without a bundle and without VMs. The platform runs until ctx ends.
func newFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{net: o.Net, zones: o.Zones, key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)), zoneOf: make(map[string]string)}
	host := fmt.Sprintf("127.%d.0.1", o.Net)
	var err error
	if f.platform, err = platform.New(platform.Options{Listen: host + ":8500", Control: host + ":8501"}); err != nil {
		return nil, err
	}
	if f.sink, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)}); err != nil {
		return nil, err
	}
	go f.drainSink()
	go func() { _ = f.platform.Run(ctx) }()
	return f, nil
}

// drainSink discards what arrives at the sink until its socket fails.
func (f *fleet) drainSink() {
	buf := make([]byte, 2048)
	for {
		if _, _, err := f.sink.ReadFromUDP(buf); err != nil {
			return
		}
	}
}

// ip returns the loopback address of the VM with the given number.
func (f *fleet) ip(number int) string {
	host := firstHost + number
	return fmt.Sprintf("127.%d.%d.%d", f.net, host/250, host%250+1)
}

// add starts the next VM.
func (f *fleet) add(ctx context.Context) error {
	f.mu.Lock()
	number := f.nextNumber
	f.nextNumber++
	f.mu.Unlock()
	n, err := newNode(ctx, f, number)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.zoneOf[fmt.Sprintf("%s:%d", n.ip, syncPort)] = n.zone
	f.mu.Unlock()
	return nil
}

// replaceOldest stops the oldest VM without a drain, starts a new one with another id, and publishes a list that
// includes it.
func (f *fleet) replaceOldest(ctx context.Context) error {
	f.mu.Lock()
	old := f.nodes[0]
	f.nodes = f.nodes[1:]
	f.mu.Unlock()
	old.stop()
	f.mu.Lock()
	f.stoppedTotals.add(old)
	f.mu.Unlock()
	if err := f.add(ctx); err != nil {
		return err
	}
	f.publishList(f.count() + 1)
	return nil
}

// add adds the counters of a VM.
func (t *totals) add(n *node) {
	bytes, reads := n.counters()
	t.bytes += bytes
	t.reads += reads
	t.packets += n.packets.Load()
	t.calls += n.calls.Load()
}

// totals sums the counters of all VMs, including stopped ones.
func (f *fleet) totals() totals {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.stoppedTotals
	for _, n := range f.nodes {
		t.add(n)
	}
	return t
}

// runningNodes returns a copy of the list of running VMs.
func (f *fleet) runningNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

func (f *fleet) count() int { return len(f.runningNodes()) }

// publishList publishes a list of the last vms started VMs and 3,100 leaves. Before the first start it lists the
// VMs about to start.
func (f *fleet) publishList(vms int) {
	var l platform.List
	vm := func(number int) {
		l.VMs = append(l.VMs, platform.VM{ID: fmt.Sprintf("vm-%04d", number), Zone: fmt.Sprintf("az-%d", number%f.zones+1),
			Address: f.ip(number), EntryPort: 7400, GatherPort: 7401, SyncPort: syncPort, OperatorPort: 7412, State: platform.StateLive})
	}
	f.mu.Lock()
	last := f.nextNumber
	f.mu.Unlock()
	for number := max(0, last-vms); number < max(last, vms); number++ {
		vm(number)
	}
	for s := range services {
		for i := range leavesPerService {
			l.Leaves = append(l.Leaves, platform.Leaf{ID: fmt.Sprintf("leaf-s%d-%d", s, i), Zone: fmt.Sprintf("az-%d", i%4+1),
				Address: fmt.Sprintf("10.%d.0.%d:9001", s, i), State: platform.StateLive})
		}
	}
	f.platform.PutList(l)
}

// cutBetween reports whether a cut separates the VM from the one at IP:PORT.
func (f *fleet) cutBetween(n *node, to string) bool {
	if !f.cut.Load() {
		return false
	}
	f.mu.Lock()
	zone := f.zoneOf[to]
	f.mu.Unlock()
	return (n.zone == cutZone) != (zone == cutZone)
}

// cutZone is the availability zone that is cut off.
const cutZone = "az-1"

// setCut cuts cutZone off from the other zones and from the platform, or heals the cut.
func (f *fleet) setCut(on bool) error {
	var faults platform.Faults
	if on {
		for _, n := range f.runningNodes() {
			if n.zone == cutZone {
				faults.CutSources = append(faults.CutSources, n.ip)
			}
		}
	}
	f.cut.Store(on)
	return f.platform.SetFaults(faults)
}

// setOutage makes the platform unavailable or available again.
func (f *fleet) setOutage(on bool) error { return f.platform.SetFaults(platform.Faults{Down: on}) }

// publishNext publishes the next bundle version on the platform. It returns the length of its text in bytes.
func (f *fleet) publishNext() (int, error) {
	f.version++
	return publishBundle(f.platform, f.key, f.version)
}

// awaitVersion waits until the newest version is in force at all VMs. It returns the time this took, or an
// error if ctx ends first.
func (f *fleet) awaitVersion(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	remaining := f.runningNodes()
	for len(remaining) > 0 {
		var next []*node
		for _, n := range remaining {
			if n.version(ctx) < f.version {
				next = append(next, n)
			}
		}
		if remaining = next; len(remaining) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return time.Since(start), nil
}
