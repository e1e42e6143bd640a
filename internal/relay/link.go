package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the read buffer.
	chunkBytes = 32 << 10
	// maxQueuedChunks is how many chunks may wait for their delivery time in one direction.
	maxQueuedChunks = 256
)

// link is one TCP connection through the relay.
type link struct {
	from, to string
	client   *net.TCPConn
	opened   time.Time

	mu sync.Mutex
	// The fields below are guarded by mu. server is nil until it is dialled. silent is set while a rule
	// silences the link, permanentlySilent once the link has lost data or ModeSilenceEstablished matched it.
	server            *net.TCPConn
	silent            bool
	permanentlySilent bool
	closed            bool
	delay             time.Duration
}

// apply applies the effect of the current rules. silencePermanently makes the link permanently silent.
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

// setServer sets the connection to the target. It returns false if the link was reset meanwhile.
func (k *link) setServer(server *net.TCPConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	k.server = server
	return true
}

// allowForward reports whether bytes or the end of a stream may be forwarded now. If not, the link becomes
// permanently silent, since its streams have lost data.
func (k *link) allowForward() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permanentlySilent = k.permanentlySilent || k.silent
	return !k.permanentlySilent
}

// deliverAt returns the time at which bytes received now are to be delivered. The first bytes are delayed by
// another round trip, which opening a connection takes: the client's own handshake ends at the relay, undelayed.
func (k *link) deliverAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	sent := time.Now()
	if opened := k.opened.Add(2 * k.delay); opened.After(sent) {
		sent = opened
	}
	return sent.Add(k.delay)
}

// isClosed reports whether the link was reset.
func (k *link) isClosed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}

// reset closes the link with a TCP reset at both ends.
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

// discard reads and drops the client's bytes until the connection ends.
func (k *link) discard() { _, _ = io.Copy(io.Discard, k.client) }

// forward copies bytes in both directions until both have ended, then closes the link.
func (k *link) forward() {
	var wg sync.WaitGroup
	wg.Go(func() { k.pipe(k.client, k.server) })
	wg.Go(func() { k.pipe(k.server, k.client) })
	wg.Wait()
	_ = k.client.Close()
	_ = k.server.Close()
}

// chunk is the result of one read, with its delivery time.
type chunk struct {
	data      []byte
	err       error
	deliverAt time.Time
}

// pipe copies one direction and writes each chunk at its delivery time.
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

// read sends what it reads from src to the queue, followed by the error that ends it, and closes the queue.
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

// write forwards bytes to dst. It forwards an EOF by closing the write side of dst, and resets the link on any
// other error.
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
