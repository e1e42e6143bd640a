package syncd

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/content"
)

// fleet is a set of syncs in one process over a fake network and a fake platform.
type fleet struct {
	t        *testing.T
	key      ed25519.PrivateKey
	platform *fakePlatform

	mu sync.Mutex
	// The fields below are guarded by mu.
	nodes   map[string]*node
	byAddr  map[string]*node
	loss    float64
	cutZone string
	// cutPair names two zones that cannot reach each other.
	cutPair [2]string
	// check is how long a sync takes to check a bundle. read is how long the platform takes to
	// answer in addition to the latency.
	check, read time.Duration
	// packets counts the packets sent. bytes counts their bytes and the message sizes of calls.
	packets, bytes int
	// added is the number of VMs ever added, from which addresses are derived.
	added int
}

// node is one sync of a fleet.
type node struct {
	fleet    *fleet
	id, zone string
	address  string
	manager  *Manager
	inbox    chan []byte
	cancel   context.CancelFunc
	done     chan struct{}
	running  bool
}

// newFleet starts n syncs spread over the zones and waits until all hold the first bundle. It must
// run inside a synctest bubble.
func newFleet(t *testing.T, n, zones int) *fleet {
	t.Helper()
	f := unstartedFleet(t)
	for i := range n {
		f.add(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("az-%d", i%zones+1))
	}
	f.platform.publishList(f.listJSON(nil))
	f.publish(1)
	for _, nd := range f.nodes {
		nd.start()
	}
	f.waitFor(10*time.Second, "the first bundle is in force everywhere", f.allAt(1))
	t.Cleanup(func() {
		for _, nd := range f.all() {
			nd.freeze()
		}
	})
	return f
}

// unstartedFleet returns a fleet without any sync; use add to create them.
// booted is the start of the VMs' boot time, bootTime the boot time by the test's clock.
var booted = time.Unix(0, 0)

func bootTime() time.Duration { return time.Since(booted) }

func unstartedFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		nodes: make(map[string]*node), byAddr: make(map[string]*node),
	}
	f.platform = newFakePlatform(f)
	return f
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*node
	for _, nd := range f.nodes {
		out = append(out, nd)
	}
	return out
}

// add creates a sync without starting it.
func (f *fleet) add(id, zone string) *node {
	nd := &node{fleet: f, id: id, zone: zone, inbox: make(chan []byte, 4096)}
	f.mu.Lock()
	nd.address = fmt.Sprintf("127.9.%d.%d:7402", f.added/250, f.added%250+1)
	f.added++
	f.nodes[id], f.byAddr[nd.address] = nd, nd
	f.mu.Unlock()
	s := DefaultSettings()
	s.VM.ID, s.VM.Zone, s.VM.Bind = id, zone, strings.Split(nd.address, ":")[0]
	s.Sync.Fleet = "test"
	public := f.key.Public().(ed25519.PublicKey)
	s.Trust = bundle.TrustSettings{Threshold: 1, Reviewers: []bundle.ReviewerSettings{
		{KeyID: bundle.KeyID(public), PublicKey: base64.StdEncoding.EncodeToString(public)}}}
	nd.manager = New(Config{
		BootTime: bootTime,
		Settings: s, Incarnation: rand.Uint64(), Platform: &nodePlatform{f.platform, nd}, Transport: nd,
		Dial: nd.dial, WrapBundles: func(b content.Bundles) content.Bundles { return slowBundles{b, f} }, Log: zap.NewNop(),
	})
	return nd
}

// slowBundles is a store whose check of a bundle takes the fleet's check time.
type slowBundles struct {
	content.Bundles
	fleet *fleet
}

// Apply implements content.Bundles.
func (s slowBundles) Apply(signed *pb.SignedManifest, text []byte) error {
	s.fleet.mu.Lock()
	check := s.fleet.check
	s.fleet.mu.Unlock()
	time.Sleep(check)
	return s.Bundles.Apply(signed, text)
}

// setDelays sets how long syncs take to check a bundle and how long the platform takes to answer.
func (f *fleet) setDelays(check, read time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.check, f.read = check, read
}

// start runs the sync. After freeze it continues with its previous state, as a process does after a
// pause.
func (nd *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	nd.cancel, nd.done = cancel, make(chan struct{})
	nd.fleet.mu.Lock()
	nd.running = true
	nd.fleet.mu.Unlock()
	go func() {
		defer close(nd.done)
		_ = nd.manager.Run(ctx)
	}()
}

// freeze stops the sync. Packets queue up for it meanwhile.
func (nd *node) freeze() {
	nd.fleet.mu.Lock()
	wasRunning := nd.running
	nd.running = false
	nd.fleet.mu.Unlock()
	if wasRunning {
		nd.cancel()
		<-nd.done
	}
}

// bundleText returns a bundle of the version. Different salts give different bundles of one
// version.
func bundleText(version uint64, salt string) []byte {
	return fmt.Appendf(nil, `version = %d
[limits]
max_query_bytes = 4096
max_top_k = 100
max_timeout = "10s"
[[caller]]
name = "desk%s"
token_sha256 = "%064d"
services = ["teachers"]
[[service]]
name = "teachers"
[[service.kind]]
name = "dawn"
mode = "search"
timeout = "1s"
[[service.leaf]]
id = "teachers-0-a"
zone = "az-1"
address = "127.0.2.1:9001"
slots = 3
connections = 30
[[service.snapshot]]
version = 1
[[service.snapshot.shard]]
id = 0
documents = 1000
leaves = ["teachers-0-a"]
`, version, salt, 7)
}

func (f *fleet) sign(version uint64, salt string) (*pb.SignedManifest, []byte) {
	text := bundleText(version, salt)
	signed, err := bundle.Sign(text, bundle.Digest{}, f.key)
	if err != nil {
		f.t.Fatal(err)
	}
	return signed, text
}

// publish puts a bundle on the platform.
func (f *fleet) publish(version uint64) {
	signed, text := f.sign(version, "")
	f.platform.publish(signed, text)
}

// listJSON returns a list of all VMs, live unless states says otherwise.
func (f *fleet) listJSON(states map[string]string) []byte {
	type vm struct {
		ID       string `json:"id"`
		Zone     string `json:"zone"`
		Address  string `json:"address"`
		SyncPort int    `json:"sync_port"`
		State    string `json:"state"`
	}
	var list struct {
		Revision uint64 `json:"revision"`
		VMs      []vm   `json:"vms"`
	}
	list.Revision = f.platform.nextListRevision()
	for _, nd := range f.all() {
		state := states[nd.id]
		if state == "" {
			state = "live"
		}
		if state != "absent" {
			list.VMs = append(list.VMs, vm{nd.id, nd.zone, strings.Split(nd.address, ":")[0], 7402, state})
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		f.t.Fatal(err)
	}
	return text
}

// allAt returns a condition: every running sync holds the version.
func (f *fleet) allAt(version uint64) func() bool {
	return func() bool {
		for _, nd := range f.all() {
			if nd.isRunning() && nd.version() != version {
				return false
			}
		}
		return true
	}
}

func (nd *node) isRunning() bool {
	nd.fleet.mu.Lock()
	defer nd.fleet.mu.Unlock()
	return nd.running
}

func (nd *node) version() uint64 {
	if b := nd.manager.content.Bundle(); b != nil {
		return b.Version
	}
	return 0
}

// state returns the state of a VM in the sync's view.
func (nd *node) state(id string) pb.VmState {
	for _, vm := range nd.manager.members.View() {
		if vm.GetId() == id {
			return vm.GetState()
		}
	}
	return pb.VmState_VM_STATE_UNSPECIFIED
}

// allSee returns a condition: every running sync other than the VM itself sees the VM in the state.
func (f *fleet) allSee(id string, state pb.VmState) func() bool {
	return func() bool {
		for _, nd := range f.all() {
			if nd.isRunning() && nd.id != id && nd.state(id) != state {
				return false
			}
		}
		return true
	}
}

// anySees reports whether a running sync sees the VM in the state.
func (f *fleet) anySees(id string, state pb.VmState) bool {
	for _, nd := range f.all() {
		if nd.isRunning() && nd.state(id) == state {
			return true
		}
	}
	return false
}

// waitFor advances the bubble's time until cond holds and returns the time that elapsed.
func (f *fleet) waitFor(limit time.Duration, what string, cond func() bool) time.Duration {
	f.t.Helper()
	const step = 10 * time.Millisecond
	for waited := time.Duration(0); waited <= limit; waited += step {
		if cond() {
			return waited
		}
		time.Sleep(step)
	}
	f.t.Fatalf("after %s not yet: %s", limit, what)
	return 0
}
