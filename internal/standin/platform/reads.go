package platform

import (
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
)

// readKind classifies reads by what they request.
type readKind int

const (
	// kindKey is a read of any key that is not part of the bundle.
	kindKey readKind = iota
	kindManifest
	kindSection
	kindList
)

// kindOfKey returns the kind of a read of the key.
func kindOfKey(key string) readKind {
	switch {
	case key == "bundle/manifest":
		return kindManifest
	case strings.HasPrefix(key, "bundle/section/"):
		return kindSection
	}
	return kindKey
}

// readCounter counts reads. It is safe for concurrent use.
type readCounter struct {
	mu sync.Mutex
	// reads is guarded by mu.
	reads Reads
}

func newReadCounter() *readCounter {
	return &readCounter{reads: Reads{BySource: make(map[string]uint64)}}
}

// countRead counts one read, by its kind and the client's IP address. Malformed reads are counted, too. watch is true
// if the read is well-formed and asks to wait for a change.
func (c *readCounter) countRead(kind readKind, r *http.Request, watch bool) {
	clientIP, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		clientIP = r.RemoteAddr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.Total++
	c.reads.BySource[clientIP]++
	if watch {
		c.reads.Watches++
	}
	switch kind {
	case kindManifest:
		c.reads.Manifest++
	case kindSection:
		c.reads.Section++
	case kindList:
		c.reads.List++
	default:
		c.reads.Key++
	}
}

// addWaiting adds delta to the number of waiting watches.
func (c *readCounter) addWaiting(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.WaitingNow += delta
}

// snapshot returns a copy of the counts.
func (c *readCounter) snapshot() Reads {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reads
	r.BySource = maps.Clone(r.BySource)
	return r
}
