package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the most bytes read at once.
	chunkBytes = 32 << 10
	// maxQueuedChunks is how many chunks may wait for their delay in one direction.
	maxQueuedChunks = 256
)

// link is one TCP connection through the relay.
type link struct {
	from, to string
	client   *net.TCPConn
	opened   time.Time

	mu sync.Mutex
	// The fields below are guarded by mu. server is nil until it is dialled. silent says that a rule
	// silences the link now, lost that it is silent for good.
	server            *net.TCPConn
	silent            bool
	permanentlySilent bool
	closed            bool
	delay             time.Duration
}

// apply sets what the rules say now.
func (k *link) apply(v effect, silencePermanently bool) {
	if v.cut {
		k.reset()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent, k.delay = v.silence, v.delay
	k.permanentlySilent = k.permanentlySilent || silencePermanently
}

// setServer notes the connection to the target; it returns false where the link ended meanwhile.
func (k *link) setServer(server *net.TCPConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	k.server = server
	return true
}

// allowForward tells whether bytes or an end may go on now. Where they may not the link is silent for good,
// since its streams have lost them.
func (k *link) allowForward() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permanentlySilent = k.permanentlySilent || k.silent
	return !k.permanentlySilent
}

// deliverAt returns when bytes that came now may go on. The first bytes pay for the round trip by which a
// real connection is opened, since the client's own opening ends at the relay.
func (k *link) deliverAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	sent := time.Now()
	if opened := k.opened.Add(2 * k.delay); opened.After(sent) {
		sent = opened
	}
	return sent.Add(k.delay)
}

// isClosed tells whether the link was reset.
func (k *link) isClosed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}

// reset ends the link with a reset at both ends.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	resetConn(k.client)
	if k.server != nil {
		resetConn(k.server)
	}
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// discard reads the client's bytes away until it closes.
func (k *link) discard() { _, _ = io.Copy(io.Discard, k.client) }

// forward moves bytes in both directions until both have ended.
func (k *link) forward() {
	var wg sync.WaitGroup
	wg.Go(func() { k.pipe(k.client, k.server) })
	wg.Go(func() { k.pipe(k.server, k.client) })
	wg.Wait()
	_ = k.client.Close()
	_ = k.server.Close()
}

// chunk is what one read brought.
type chunk struct {
	data      []byte
	err       error
	deliverAt time.Time
}

// pipe moves one direction, each chunk after its delay.
func (k *link) pipe(src, dst *net.TCPConn) {
	queue := make(chan chunk, maxQueuedChunks)
	go k.read(src, queue)
	for c := range queue {
		if wait := time.Until(c.deliverAt); wait > 0 {
			time.Sleep(wait)
		}
		if !k.allowForward() {
			continue
		}
		k.write(c, dst)
	}
}

// read sends what src brings to the queue, its end last.
func (k *link) read(src *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			queue <- chunk{data: append([]byte(nil), buf[:n]...), deliverAt: k.deliverAt()}
		}
		if err != nil {
			queue <- chunk{err: err, deliverAt: k.deliverAt()}
			return
		}
	}
}

// write hands bytes on, an orderly end as an orderly end, and all else as a reset.
func (k *link) write(c chunk, dst *net.TCPConn) {
	var err error
	switch {
	case c.err == nil:
		_, err = dst.Write(c.data)
	case errors.Is(c.err, io.EOF):
		err = dst.CloseWrite()
	default:
		err = c.err
	}
	if err != nil {
		k.reset()
	}
}
