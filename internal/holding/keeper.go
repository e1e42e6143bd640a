package holding

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// pollInterval is the time between two looks at all connections for which bytes are held.
const pollInterval = 250 * time.Millisecond

// Conn is a connection for which bytes are held.
type Conn interface {
	// Progress returns how many bytes are held, and how many the peer has taken or sent so far. ok is false once
	// nothing is held any more.
	Progress() (held, moved int64, ok bool)
	// Close closes the connection.
	Close()
}

// Keeper closes connections when too much is held for them, and refuses requests when too many are in flight. It is
// safe for concurrent use.
type Keeper struct {
	now    func() time.Time
	closed *prometheus.CounterVec
	gauges []prometheus.Collector

	mu sync.Mutex
	// The fields below are guarded by mu.
	ledger   *Ledger
	places   *Places
	conns    map[ID]heldConn
	isSearch func(host, path string) bool
}

type heldConn struct {
	Conn
	peer Peer
}

// NewKeeper returns a keeper for a process with the given memory limit.
func NewKeeper(memoryBytes int64, now func() time.Time) *Keeper {
	k := &Keeper{
		now: now, ledger: NewLedger(memoryBytes), places: NewPlaces(memoryBytes), conns: make(map[ID]heldConn),
		isSearch: func(string, string) bool { return false },
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_slow_connections_closed_total", Help: "Connections closed because their peer was too slow.",
		}, []string{"peer"}),
	}
	k.gauges = []prometheus.Collector{
		k.gauge("burdock_slow_bytes_held", "Bytes held for connections.", func() int64 { return k.ledger.Held() }),
		k.gauge("burdock_request_bytes_held", "Estimated bytes held by requests in flight.", func() int64 { return k.places.used }),
	}
	return k
}

func (k *Keeper) gauge(name, help string, value func() int64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		k.mu.Lock()
		defer k.mu.Unlock()
		return float64(value())
	})
}

// Register registers the metrics.
func (k *Keeper) Register(reg prometheus.Registerer) {
	reg.MustRegister(append(k.gauges, k.closed)...)
}

// SetSearch sets the function that reports whether a request is a search.
func (k *Keeper) SetSearch(isSearch func(host, path string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isSearch = isSearch
}

// Request takes a place for a request with a body of the given length, which is negative if unknown. release returns
// the place. It is nil if the request is refused; it may be sent again after retryAfter.
func (k *Keeper) Request(host, path string, bodyBytes int64) (release func(), retryAfter time.Duration) {
	start := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	bytes := requestBytes(k.isSearch(host, path), bodyBytes)
	ok, retryAfter := k.places.Take(start, bytes)
	if !ok {
		return nil, retryAfter
	}
	return func() {
		end := k.now()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.places.Release(bytes, end.Sub(start))
	}, 0
}

// HoldCaller counts the bytes held for a caller until release is called or its connection says that none are.
func (k *Keeper) HoldCaller(c Conn) (release func()) { return k.hold(Caller, c) }

// HoldLeaf counts the bytes held for a leaf until release is called or its connection says that none are.
func (k *Keeper) HoldLeaf(c Conn) (release func()) { return k.hold(Leaf, c) }

func (k *Keeper) hold(p Peer, c Conn) (release func()) {
	now := k.now()
	held, _, ok := c.Progress()
	if !ok {
		return func() {}
	}
	k.mu.Lock()
	id := k.ledger.Add(now, p, held)
	k.conns[id] = heldConn{c, p}
	tooMuch := k.ledger.Held() > k.ledger.Limit()
	k.mu.Unlock()
	if tooMuch {
		k.Poll()
	}
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.remove(id)
	}
}

// remove removes a connection. Requires mu.
func (k *Keeper) remove(id ID) {
	k.ledger.Remove(id)
	delete(k.conns, id)
}

// Poll looks at all connections and closes those that are too slow.
func (k *Keeper) Poll() {
	for _, c := range k.expel() {
		k.closed.WithLabelValues(string(c.peer)).Inc()
		c.Close()
	}
}

// expel updates the ledger and removes the connections to be closed.
func (k *Keeper) expel() (out []heldConn) {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, c := range k.conns {
		held, moved, ok := c.Progress()
		if !ok {
			k.remove(id)
			continue
		}
		k.ledger.Update(now, id, held, moved)
	}
	for _, id := range k.ledger.Expel(now) {
		out = append(out, k.conns[id])
		delete(k.conns, id)
	}
	return out
}

// State is what is held now, for operators.
type State struct {
	Connections                int
	HeldBytes, HeldBytesLimit  int64
	RequestBytes, RequestLimit int64
}

// State returns what is held now.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{len(k.conns), k.ledger.Held(), k.ledger.Limit(), k.places.used, k.places.limit}
}

// Run polls the connections until ctx ends. It returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			k.Poll()
		}
	}
}
