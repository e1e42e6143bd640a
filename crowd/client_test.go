package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// sendTimeout bounds how long a client of a crowd sends, patience how long the test waits for anything else. Both are far above
	// what either takes.
	sendTimeout = 15 * time.Second
	patience    = 30 * time.Second
	// pieceBytes is how much a client that sends piece by piece sends at a time.
	pieceBytes = 4 << 10
	// maxRequestBytes bounds what a client without an end sends.
	maxRequestBytes = 4 << 20
)

// client sends a request to a process in its own way, and returns when it has sent it all or the process takes no more.
type client func(c net.Conn, id string)

// head returns the head of a request to the target, without the empty line that ends it.
func head(method, target, id, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRemaining-Milliseconds: 20000\r\n%s", method, target, id, more)
}

func send(c net.Conn, data ...[]byte) {
	for _, d := range data {
		if _, err := c.Write(d); err != nil {
			return
		}
	}
}

func lengthHeader(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

const chunkedHeader = "Transfer-Encoding: chunked\r\n\r\n"

// endlessHead sends the text over and over inside of a head that does not end.
func endlessHead(text string) client {
	return func(c net.Conn, id string) {
		send(c, []byte(head("GET", "/i/1", id, "")))
		block := bytes.Repeat([]byte(text), max(1, pieceBytes/len(text)))
		for sent := 0; sent < maxRequestBytes; sent += len(block) {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
}

// unendedHead sends a head of legal size made of the lines, without its end.
func unendedHead(line string, size int) client {
	return func(c net.Conn, id string) {
		h := head("GET", "/i/1", id, "")
		send(c, []byte(h+strings.Repeat(line, (size-len(h))/len(line))))
	}
}

// unendedBody sends a body of the size, all but its last byte, in pieces.
func unendedBody(size, piece int) client {
	return func(c net.Conn, id string) {
		send(c, []byte(head("POST", "/i/1", id, lengthHeader(size))))
		body := bytes.Repeat([]byte("b"), piece)
		for left := size - 1; left > 0; left -= piece {
			if _, err := c.Write(body[:min(piece, left)]); err != nil {
				return
			}
		}
	}
}

// unendedChunks sends a body of the size in chunks and leaves out the one that ends it.
func unendedChunks(size, chunk int) client {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk))
	block := []byte(strings.Repeat(one, max(1, pieceBytes/len(one))))
	return func(c net.Conn, id string) {
		send(c, []byte(head("POST", "/i/1", id, chunkedHeader)))
		for left := size / chunk * len(one); left > 0; left -= len(block) {
			if _, err := c.Write(block[:min(left, len(block))]); err != nil {
				return
			}
		}
	}
}

// unendedTrailer sends a short body in chunks and a trailer without its end.
func unendedTrailer(size int) client {
	return func(c net.Conn, id string) {
		send(c, []byte(head("POST", "/i/1", id, chunkedHeader)+"1\r\nc\r\n0\r\n"))
		send(c, bytes.Repeat([]byte("a: b\r\n"), size/6))
	}
}

// whole sends a whole request with a body of the size, and reads its answer if it is to.
func whole(method, target string, size int, read bool) client {
	return func(c net.Conn, id string) {
		send(c, []byte(head(method, target, id, lengthHeader(size))), bytes.Repeat([]byte("w"), size))
		if read {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// pipelined sends a whole request and, without waiting for its answer, bytes without an end.
func pipelined(c net.Conn, id string) {
	send(c, []byte(head("GET", "/slow/1", id, "\r\n")))
	block := bytes.Repeat([]byte("p"), pieceBytes)
	for range maxRequestBytes / pieceBytes {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// invalid sends a request without an id, which is refused, and a body of the size without its last byte.
func invalid(size int) client {
	return func(c net.Conn, _ string) {
		send(c, []byte("POST /i/1 HTTP/1.1\r\nHost: h\r\n"+lengthHeader(size)), bytes.Repeat([]byte("i"), size-1))
	}
}

// silent sends nothing.
func silent(net.Conn, string) {}

// crowd is a number of clients whose connections stay open until it is closed.
type crowd struct{ conns []net.Conn }

// sendCrowd opens n connections to the address, each for a client of its own, and returns when all have sent what they send.
func sendCrowd(t *testing.T, address string, n int, send client) *crowd {
	t.Helper()
	c := &crowd{}
	var senders sync.WaitGroup
	for i := range n {
		conn, err := net.DialTimeout("tcp", address, patience)
		if err != nil {
			continue // the process takes no more connections
		}
		c.conns = append(c.conns, conn)
		_ = conn.SetDeadline(time.Now().Add(sendTimeout))
		senders.Go(func() { send(conn, fmt.Sprintf("crowd-%d", i)) })
	}
	t.Cleanup(c.close)
	senders.Wait()
	return c
}

// sendAgain is like sendCrowd, and each client opens another connection whenever its last one has been answered or closed, until the
// time. It returns then.
func sendAgain(t *testing.T, address string, n int, send client, until time.Time) *crowd {
	t.Helper()
	var clients sync.WaitGroup
	for i := range n {
		clients.Go(func() {
			for round := 0; time.Now().Before(until); round++ {
				conn, err := net.DialTimeout("tcp", address, patience)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(until)
				send(conn, fmt.Sprintf("crowd-%d-%d", i, round))
				_, _ = conn.Read(make([]byte, 1)) // until it is answered or closed
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	return &crowd{}
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
