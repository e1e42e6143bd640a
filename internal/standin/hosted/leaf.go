package hosted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Leaf is a stand-in for a leaf of the platform. It serves one request at a time on each connection
// and as many at once as it has slots, and refuses requests beyond that. It is safe for concurrent
// use.
type Leaf struct {
	ID string
	// Born is the time of the leaf's start in Unix milliseconds.
	Born       int64
	listener   net.Listener
	slots      chan struct{}
	goroutines sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu, except running.
	script   Script
	conns    map[net.Conn]struct{}
	received []ReceivedRequest
	opened   int
	running  atomic.Int64
	// coldUntil is when the leaf ceases to be cold; guarded by mu.
	coldUntil time.Time
	// ended is set once a request has ended the leaf; guarded by mu.
	ended bool
	// writes counts the entries that were made of the leaf, endlessBytes the bytes written of endless replies.
	writes, endlessBytes atomic.Int64
}

// ReceivedRequest is a request that reached the leaf. Ran reports whether the leaf ran it.
type ReceivedRequest struct {
	ID, Method, Target, Host, ExpectedInstance string
	Remaining                                  int
	Header                                     http.Header
	Body                                       []byte
	Ran                                        bool
	At                                         time.Time
}

// HealthCheck reports whether the request is a health check, which belongs to no caller.
func (r *ReceivedRequest) HealthCheck() bool {
	return r.Method == http.MethodGet && r.Target == HealthPath && r.ID == ""
}

// Reply is a leaf's reaction to a request.
type Reply struct {
	// Delay is the service time.
	Delay time.Duration
	// Status is the status code; 0 stands for 200.
	Status int
	Body   []byte
	Header http.Header
	// Unsigned spoils a byte in the name of the signature's header.
	Unsigned bool
	// Refuse answers 503 without running the request.
	Refuse bool
	// Raw, if set, is written in place of an answer. Trailing is written after the answer.
	Raw, Trailing []byte
	// Endless, if set, is written over and over after Raw, until the caller closes the connection.
	Endless []byte
	// Close closes the connection after the answer or Raw. Reset resets it in place of an answer.
	Close, Reset bool
	// Truncate, if above 0, cuts the body to this many bytes; Content-Length still announces the
	// full body.
	Truncate int
	// NoLength sends the body without a Content-Length and closes the connection.
	NoLength bool
	// BeforeBody answers without reading the request's body first.
	BeforeBody bool
	// End, if set, ends the leaf after Delay in place of an answer.
	End *End
}

// End is how a leaf ends that a request crashes. Nothing listens at its address afterwards.
type End struct {
	// Unresponsive makes the address go on taking connections, on which nothing answers.
	Unresponsive bool
	// Reset resets the leaf's connections in place of closing them.
	Reset bool
	// HalfAnswer sends half of the answer first.
	HalfAnswer bool
	// Ended, if set, is called once, when nothing listens at the address any more.
	Ended func()
}

// RequestID returns the id of the attempt, which the request carries in its Request-Id header.
func RequestID(r *http.Request) string { return r.Header.Get("Request-Id") }

// ForeignAnswer returns a successful answer to another attempt, with a signature of no known leaf.
func ForeignAnswer() []byte {
	return []byte("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: other.other\r\nContent-Length: 5\r\n\r\nother")
}

// Script returns the leaf's reaction to its n-th request, counted from 0.
type Script func(n int, r *http.Request) Reply

// NewLeaf starts a leaf with the given number of slots on a free loopback port. It panics if it
// can't listen. The caller must Close the leaf.
func NewLeaf(id string, slots int, script Script) *Leaf {
	leaf, err := NewLeafAt("127.0.0.1:0", id, slots, script)
	if err != nil {
		panic(err)
	}
	return leaf
}

// NewLeafAt starts a leaf at the address, which may be that of a closed leaf.
func NewLeafAt(address, id string, slots int, script Script) (*Leaf, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	leaf := &Leaf{ID: id, Born: time.Now().UnixMilli(), listener: l, slots: make(chan struct{}, slots), script: script, conns: make(map[net.Conn]struct{})}
	leaf.goroutines.Go(leaf.accept)
	return leaf, nil
}

// Address returns the IP:PORT of the leaf.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// SetCold makes the leaf cold for the time. Its entry says so once it is written again.
func (l *Leaf) SetCold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil = time.Now().Add(d)
}

// warmupRemaining returns how much longer the leaf is cold.
func (l *Leaf) warmupRemaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.coldUntil))
}

// Entry returns the leaf's entry in the store, under servers/ID.
func (l *Leaf) Entry(service, zone, state string) map[string]any {
	return map[string]any{
		"service": service, "address": l.Address(), "zone": zone, "version": "v1", "slots": cap(l.slots),
		"state": state, "warmup_remaining_ms": l.warmupRemaining().Milliseconds(), "sequence": l.writes.Add(1), "born": l.Born,
	}
}

// Close closes the leaf and its connections and waits for their goroutines.
func (l *Leaf) Close() {
	_ = l.listener.Close()
	l.CloseConns()
	l.goroutines.Wait()
}

// CloseConns closes all open connections.
func (l *Leaf) CloseConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

// SetScript replaces the script for all later requests.
func (l *Leaf) SetScript(s Script) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.script = s
}

// Requests returns the requests that have reached the leaf so far.
func (l *Leaf) Requests() []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ReceivedRequest(nil), l.received...)
}

// ConnectionsOpened returns the number of connections accepted so far.
func (l *Leaf) ConnectionsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

func (l *Leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.opened++
		l.mu.Unlock()
		l.goroutines.Go(func() { l.serve(c) })
	}
}

func (l *Leaf) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !l.answer(c, r) {
			return
		}
	}
}

// answer serves one request and reports whether the connection stays open.
func (l *Leaf) answer(c net.Conn, r *http.Request) bool {
	l.mu.Lock()
	ended := l.ended
	reply := l.script(len(l.received), r)
	l.mu.Unlock()
	if ended {
		_, _ = io.Copy(io.Discard, c) // until the caller gives up
		return false
	}
	var body []byte
	if !reply.BeforeBody {
		body, _ = io.ReadAll(r.Body)
	}
	remaining, _ := strconv.Atoi(r.Header.Get("Remaining-Milliseconds"))
	seen := ReceivedRequest{
		ID: RequestID(r), Method: r.Method, Target: r.RequestURI, Host: r.Host, ExpectedInstance: r.Header.Get("Expected-Instance"),
		Remaining: remaining, Header: r.Header, Body: body, At: time.Now(),
	}
	moved := seen.ExpectedInstance != "" && seen.ExpectedInstance != l.ID
	full := !moved && !reply.Refuse && !l.acquireSlot()
	seen.Ran = !moved && !reply.Refuse && !full
	l.mu.Lock()
	l.received = append(l.received, seen)
	l.mu.Unlock()
	switch {
	case moved:
		return l.write(c, &seen, Reply{Status: http.StatusMisdirectedRequest})
	case full || reply.Refuse:
		return l.write(c, &seen, Reply{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Executed": {"1"}}})
	}
	time.Sleep(reply.Delay)
	<-l.slots
	l.running.Add(-1)
	if reply.End != nil {
		l.end(c, &seen, reply)
		return false
	}
	return l.write(c, &seen, reply)
}

// end ends the leaf as the reply says. It does not wait for the leaf's goroutines, of which it is one.
func (l *Leaf) end(c net.Conn, seen *ReceivedRequest, reply Reply) {
	l.mu.Lock()
	again := l.ended
	l.ended = true
	l.mu.Unlock()
	if again {
		return
	}
	if reply.End.HalfAnswer {
		answer := l.Answer(seen.ID, reply)
		_, _ = c.Write(answer[:len(answer)-len(reply.Body)/2])
	}
	if !reply.End.Unresponsive {
		_ = l.listener.Close()
	}
	if reply.End.Reset {
		l.resetConns()
	}
	l.CloseConns()
	if reply.End.Ended != nil {
		reply.End.Ended()
	}
}

// resetConns makes the end of all open connections a reset.
func (l *Leaf) resetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

func (l *Leaf) acquireSlot() bool {
	select {
	case l.slots <- struct{}{}:
		l.running.Add(1)
		return true
	default:
		return false
	}
}

// Stamp returns the leaf's signature for an answer to the attempt.
func (l *Leaf) Stamp(id string) string { return l.ID + "." + id }

// write writes the reply and reports whether the connection stays open.
func (l *Leaf) write(c net.Conn, seen *ReceivedRequest, reply Reply) bool {
	if reply.Reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	if reply.Endless != nil {
		l.writeEndless(c, reply)
		return false
	}
	if reply.Raw != nil {
		_, _ = c.Write(reply.Raw)
		return !reply.Close
	}
	_, err := c.Write(append(l.Answer(seen.ID, reply), reply.Trailing...))
	return err == nil && !reply.Close && !reply.NoLength && reply.Truncate == 0
}

// endlessBlock is the least number of bytes of an endless reply that are written at once.
const endlessBlock = 16 << 10

// writeEndless writes until the caller closes the connection.
func (l *Leaf) writeEndless(c net.Conn, reply Reply) {
	block := bytes.Repeat(reply.Endless, 1+endlessBlock/len(reply.Endless))
	n, err := c.Write(reply.Raw)
	l.endlessBytes.Add(int64(n))
	for err == nil {
		n, err = c.Write(block)
		l.endlessBytes.Add(int64(n))
	}
}

// EndlessBytes returns how many bytes of endless replies the callers' connections have taken.
func (l *Leaf) EndlessBytes() int64 { return l.endlessBytes.Load() }

// Answer returns the encoded HTTP answer to the attempt.
func (l *Leaf) Answer(id string, reply Reply) []byte {
	status := reply.Status
	if status == 0 {
		status = http.StatusOK
	}
	signature := "Server-Stamp"
	if reply.Unsigned {
		signature = "Server-Stbmp"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s: %s\r\n", status, http.StatusText(status), id, signature, l.Stamp(id))
	fmt.Fprintf(&b, "Server-Load: %d,0,%d\r\n", l.running.Load(), cap(l.slots))
	_ = reply.Header.Write(&b)
	body := reply.Body
	if !reply.NoLength {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if reply.Close || reply.NoLength {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if reply.Truncate > 0 {
		body = body[:min(reply.Truncate, len(body))]
	}
	b.Write(body)
	return b.Bytes()
}
