package scenarios

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Crowds of clients that keep to no rule ended a process, whose memory ran out. They load the whole machine: run them apart
// from other tests.
func TestCrowds(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/crowds", Setup: setUp, Cmds: verbs(), RequireUniqueNames: true})
}

const (
	// crowdTimeout bounds how long a client of a crowd sends.
	crowdTimeout = 20 * time.Second
	// endlessHeadBytes is how much a client sends of a head without an end.
	endlessHeadBytes = 1 << 20
	// unreadBufferBytes is how much a client takes of an answer that it does not read.
	unreadBufferBytes = 4 << 10
)

// crowdClients maps the ways of the verb crowd to how one connection sends.
var crowdClients = map[string]func(c *crowd){"streams": (*crowd).sendStreams, "bodies": (*crowd).sendBody, "heads": (*crowd).sendHead, "silent": (*crowd).sendNothing, "unread": (*crowd).sendUnread}

// crowd is one connection of a crowd, which stays open until ctx ends.
type crowd struct {
	ctx     context.Context
	address string
	// streams is the number of requests on the connection, size that of the body of each, of which the last byte is not sent.
	streams, size int
	// sent is done once all has been sent that the process takes.
	sent sync.WaitGroup
}

// verbCrowd is: crowd streams|bodies|heads|silent|unread conns=N [streams=N] [size=N] [via=VM]. It returns when the clients have sent what they
// send. They stay until the end of the scenario, or until the verb disperse.
func verbCrowd(f *fleet, a *arguments) error {
	entry, err := f.vm(a.text("via", f.vms[0].name))
	if err != nil {
		return err
	}
	conns, streams, size := a.number("conns", 1), a.number("streams", 1), a.number("size", 0)
	if err := a.validate(1, 1); err != nil {
		return err
	}
	send := crowdClients[a.words[0]]
	if send == nil {
		return fmt.Errorf("unknown crowd %q", a.words[0])
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.crowds = append(f.crowds, cancel)
	var all sync.WaitGroup
	for range conns {
		c := &crowd{ctx: ctx, address: fmt.Sprintf("%s:%d", entry.bind, settings.DefaultEntryPort), streams: streams, size: size}
		all.Go(func() {
			send(c)
			c.sent.Wait()
		})
	}
	all.Wait()
	return nil
}

// verbDisperse is: disperse. It closes the connections of all crowds.
func verbDisperse(f *fleet, a *arguments) error {
	for _, cancel := range f.crowds {
		cancel()
	}
	f.crowds = nil
	return a.validate(0, 0)
}

// sendStreams sends requests over HTTP/2 whose bodies stop short of their end.
func (c *crowd) sendStreams() {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	client := &http.Client{Transport: transport}
	context.AfterFunc(c.ctx, transport.CloseIdleConnections)
	for range c.streams {
		body := &unendedBody{ctx: c.ctx, left: c.size - 1}
		body.sent = sync.OnceFunc(c.sent.Done)
		c.sent.Add(1)
		go func() {
			defer body.sent()
			req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+c.address+burdockv1connect.QueryServiceSearchProcedure, body)
			if err != nil {
				return
			}
			req.ContentLength = int64(c.size)
			req.Header = crowdHeader()
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
		defer time.AfterFunc(crowdTimeout, body.sent).Stop()
	}
	c.sent.Wait()
}

func crowdHeader() http.Header {
	return http.Header{"Authorization": {"Bearer " + callerToken}, "Content-Type": {"application/json"}}
}

// unendedBody is a body that stops before its end, until ctx ends.
type unendedBody struct {
	ctx  context.Context
	left int
	// sent is called when all but the end has been read.
	sent func()
}

// Read implements io.Reader.
func (b *unendedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.sent()
		<-b.ctx.Done()
		return 0, errors.New("the crowd has left")
	}
	n := min(len(p), b.left)
	copy(p, bytes.Repeat([]byte{' '}, n))
	b.left -= n
	return n, nil
}

// open opens a connection that is closed when ctx ends.
func (c *crowd) open() (net.Conn, bool) {
	conn, err := net.DialTimeout("tcp", c.address, crowdTimeout)
	if err != nil {
		return nil, false
	}
	context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	return conn, conn.SetDeadline(time.Now().Add(crowdTimeout)) == nil
}

// sendBody sends a request over HTTP/1.1 whose body stops short of its end.
func (c *crowd) sendBody() {
	conn, ok := c.open()
	if !ok {
		return
	}
	head := &bytes.Buffer{}
	_ = crowdHeader().Write(head) // writes to memory
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s",
		burdockv1connect.QueryServiceSearchProcedure, head, c.size, strings.Repeat(" ", c.size-1))
}

// sendHead sends a head of many headers without an end.
func (c *crowd) sendHead() {
	conn, ok := c.open()
	if !ok {
		return
	}
	w := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: h\r\n", burdockv1connect.QueryServiceSearchProcedure)
	for n := 0; n < endlessHeadBytes; {
		k, err := fmt.Fprintf(w, "h%x: b\r\n", n)
		if err != nil {
			return
		}
		n += k
	}
	_ = w.Flush() // the process may have closed the connection
}

func (c *crowd) sendNothing() { c.open() }

// sendUnread sends whole searches over HTTP/1.1, one for each stream, and reads the first bytes of the first answer only.
func (c *crowd) sendUnread() {
	conn, ok := c.open()
	if !ok {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(unreadBufferBytes)
	}
	body := fmt.Sprintf(`{"service":%q,"kind":"roster","query":"a long answer","topK":100}`, serviceName)
	head := &bytes.Buffer{}
	_ = crowdHeader().Write(head) // writes to memory
	for range c.streams {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", burdockv1connect.QueryServiceSearchProcedure, head, len(body), body)
	}
	_, _ = io.ReadFull(conn, make([]byte, unreadBufferBytes)) // the answer is there, or the process has closed the connection
}

// verbMemory is: memory PROCESS most=MB. It fails if the process has ever taken more.
func verbMemory(f *fleet, a *arguments) error {
	most := a.number("most", 0)
	if err := a.validate(1, 1); err != nil {
		return err
	}
	d := f.daemon(a.words[0])
	if !d.Running() {
		return fmt.Errorf("%s has ended", d.Name())
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		return err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kb, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		return err
	}
	f.logf("%s: %d MB at the peak", d.Name(), kb>>10)
	if kb>>10 > most {
		return fmt.Errorf("%s has taken %d MB, at most %d are allowed", d.Name(), kb>>10, most)
	}
	return nil
}
