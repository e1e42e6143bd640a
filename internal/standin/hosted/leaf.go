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

// Leaf plays a leaf of the platform: it serves one request at a time on a connection, slots of them at
// once, and refuses what it has no room for. It is safe for concurrent use.
type Leaf struct {
	ID string
	// Born is when it started, in Unix milliseconds.
	Born       int64
	listener   net.Listener
	slots      chan struct{}
	goroutines sync.WaitGroup

	mu sync.Mutex
	// What follows is guarded by mu.
	script   Script
	conns    map[net.Conn]struct{}
	received []ReceivedRequest
	opened   int
	running  atomic.Int64
}

// ReceivedRequest is a request that reached the leaf.
type ReceivedRequest struct {
	ID, Method, Target, Host, ExpectedInstance string
	Remaining                                  int
	Header                                     http.Header
	Body                                       []byte
	Ran                                        bool
	At                                         time.Time
}

// Reply is what a leaf does with a request.
type Reply struct {
	// Delay is how long the work takes.
	Delay time.Duration
	// Status is 200 where it is 0.
	Status int
	Body   []byte
	Header http.Header
	// Refuse answers 503 without running the request.
	Refuse bool
	// Raw, where set, is written in place of an answer; Then is written after the answer.
	Raw, Trailing []byte
	// Close ends the connection after what was written, Reset with a reset.
	Close, Reset bool
	// Truncate cuts the body to as many bytes, under a length that promises more.
	Truncate int
	// NoLength sends the body without a length and ends the connection.
	NoLength bool
	// BeforeBody answers before the body was read.
	BeforeBody bool
}

// RequestID returns the attempt's id that a request carries.
func RequestID(r *http.Request) string { return r.Header.Get("Request-Id") }

// ForeignAnswer is a success that belongs to another attempt, signed by nobody.
func ForeignAnswer() []byte {
	return []byte("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: other.other\r\nContent-Length: 5\r\n\r\nother")
}

// Script decides what a leaf does with its n-th request, from 0.
type Script func(n int, r *http.Request) Reply

// NewLeaf starts a leaf at a free port of loopback with as many slots. Close ends it.
func NewLeaf(id string, slots int, script Script) *Leaf {
	leaf, err := NewLeafAt("127.0.0.1:0", id, slots, script)
	if err != nil {
		panic(err)
	}
	return leaf
}

// NewLeafAt starts a leaf at the address, such as that of one that has ended.
func NewLeafAt(address, id string, slots int, script Script) (*Leaf, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	leaf := &Leaf{ID: id, Born: time.Now().UnixMilli(), listener: l, slots: make(chan struct{}, slots), script: script, conns: make(map[net.Conn]struct{})}
	leaf.goroutines.Go(leaf.accept)
	return leaf, nil
}

// Address returns IP:PORT of the leaf.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// Entry returns the leaf's entry in the store, under servers/ID.
func (l *Leaf) Entry(service, zone, state string) map[string]any {
	return map[string]any{
		"service": service, "address": l.Address(), "zone": zone, "version": "v1", "slots": cap(l.slots),
		"state": state, "warmup_remaining_ms": 0, "sequence": 1, "born": l.Born,
	}
}

// Close ends the leaf and its connections.
func (l *Leaf) Close() {
	_ = l.listener.Close()
	l.CloseConns()
	l.goroutines.Wait()
}

// CloseConns ends all open connections.
func (l *Leaf) CloseConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

// SetScript changes what the leaf does from now on.
func (l *Leaf) SetScript(s Script) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.script = s
}

// Requests returns what reached the leaf so far.
func (l *Leaf) Requests() []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ReceivedRequest(nil), l.received...)
}

// ConnectionsOpened returns how many connections were opened so far.
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

// answer serves one request and tells whether the connection goes on.
func (l *Leaf) answer(c net.Conn, r *http.Request) bool {
	l.mu.Lock()
	reply := l.script(len(l.received), r)
	l.mu.Unlock()
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
	return l.write(c, &seen, reply)
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

// Stamp is the signature that a leaf puts on an answer to the attempt.
func (l *Leaf) Stamp(id string) string { return l.ID + "." + id }

// write sends the reply and tells whether the connection goes on.
func (l *Leaf) write(c net.Conn, seen *ReceivedRequest, reply Reply) bool {
	if reply.Reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	if reply.Raw != nil {
		_, _ = c.Write(reply.Raw)
		return !reply.Close
	}
	_, err := c.Write(append(l.Answer(seen.ID, reply), reply.Trailing...))
	return err == nil && !reply.Close && !reply.NoLength && reply.Truncate == 0
}

// Answer returns an answer to the attempt as it goes over the wire.
func (l *Leaf) Answer(id string, reply Reply) []byte {
	status := reply.Status
	if status == 0 {
		status = http.StatusOK
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n", status, http.StatusText(status), id, l.Stamp(id))
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
