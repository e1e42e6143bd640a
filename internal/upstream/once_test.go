package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// rawLeaf speaks bare HTTP/2 frames to end calls in ways that a library's server does not. It
// answers pings, fails every status request, and calls onOrder for the last frame of an order.
type rawLeaf struct {
	orders  atomic.Int64
	onOrder func(*http2.Framer, net.Conn, uint32)
}

func (r *rawLeaf) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &bufferedPipe{Conn: far, out: make(chan []byte, 64)}
	go c.drain()
	go r.serve(c)
	return near, nil
}

// bufferedPipe accepts writes without waiting for the reader, as TCP does.
type bufferedPipe struct {
	net.Conn
	out  chan []byte
	once sync.Once
}

func (p *bufferedPipe) drain() {
	defer func() { _ = p.Conn.Close() }()
	for b := range p.out {
		_, _ = p.Conn.Write(b)
	}
}

// Write implements net.Conn. The goroutine that calls it also closes the pipe.
func (p *bufferedPipe) Write(b []byte) (int, error) {
	p.out <- bytes.Clone(b)
	return len(b), nil
}

// Close closes the connection after the written bytes were sent.
func (p *bufferedPipe) Close() error {
	p.once.Do(func() { close(p.out) })
	return nil
}

func (r *rawLeaf) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if _, err := in.Discard(len(http2.ClientPreface)); err != nil {
		return
	}
	fr := http2.NewFramer(c, in)
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	_ = fr.WriteSettings()
	orders := make(map[uint32]bool) // the streams that carry one
	for {
		f, err := fr.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.PingFrame:
			_ = fr.WritePing(true, f.Data)
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = fr.WriteSettingsAck()
			}
		case *http2.MetaHeadersFrame:
			if strings.HasSuffix(f.PseudoValue("path"), "/Status") {
				_ = fr.WriteRSTStream(f.StreamID, http2.ErrCodeInternal)
			} else {
				orders[f.StreamID] = true
			}
		case *http2.DataFrame:
			if f.StreamEnded() && orders[f.StreamID] {
				r.orders.Add(1)
				r.onOrder(fr, c, f.StreamID)
			}
		}
	}
}

// respond sends a response with the status and one header, without a body.
func respond(fr *http2.Framer, stream uint32, status, name, value string) {
	var b bytes.Buffer
	enc := hpack.NewEncoder(&b)
	_ = enc.WriteField(hpack.HeaderField{Name: ":status", Value: status})
	_ = enc.WriteField(hpack.HeaderField{Name: name, Value: value})
	_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: b.Bytes(), EndStream: true, EndHeaders: true})
}

func TestOrderIsNeverSentTwice(t *testing.T) {
	unspecified := pb.LeafRefusalReason_LEAF_REFUSAL_REASON_UNSPECIFIED
	for _, tt := range []struct {
		name    string
		onOrder func(fr *http2.Framer, c net.Conn, stream uint32)
		// refusal is set if the protocol guarantees that the order was not processed.
		refusal pb.LeafRefusalReason
		lost    bool
	}{
		{"stream refused", func(fr *http2.Framer, _ net.Conn, s uint32) {
			_ = fr.WriteRSTStream(s, http2.ErrCodeRefusedStream)
		}, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED, false},
		{"excluded by GOAWAY", func(fr *http2.Framer, _ net.Conn, _ uint32) {
			_ = fr.WriteGoAway(1, http2.ErrCodeNo, nil)
		}, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING, false},
		{"in flight at GOAWAY, then closed", func(fr *http2.Framer, c net.Conn, s uint32) {
			_ = fr.WriteGoAway(s, http2.ErrCodeNo, nil)
			_ = c.Close()
		}, unspecified, false},
		{"stream reset", func(fr *http2.Framer, _ net.Conn, s uint32) {
			_ = fr.WriteRSTStream(s, http2.ErrCodeInternal)
		}, unspecified, false},
		{"connection closed", func(_ *http2.Framer, c net.Conn, _ uint32) { _ = c.Close() }, unspecified, true},
		{"redirect that keeps the method", func(fr *http2.Framer, _ net.Conn, s uint32) {
			respond(fr, s, "308", "location", "/burdock.v1.LeafService/Execute")
		}, unspecified, false},
		{"unavailable with Retry-After", func(fr *http2.Framer, _ net.Conn, s uint32) {
			respond(fr, s, "503", "retry-after", "0")
		}, unspecified, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &rawLeaf{onOrder: tt.onOrder}
				p, _ := startPool(t, r.dial)
				waitForConnections()
				_, err := p.Execute(t.Context(), testLeaf, &pb.LeafExecuteRequest{Ticket: "t1"})
				time.Sleep(5 * time.Second)
				e := asCallError(err)
				is.True(e.Wrote)
				is.Equal(e.Refusal, tt.refusal)
				is.Equal(e.NotStarted(), tt.refusal != unspecified)
				is.Equal(e.ConnectionLost, tt.lost)
				is.Equal(r.orders.Load(), int64(1))
			})
		})
	}
}

func TestOrderAbandonedBeforeItsBodyIsReadIsNotSent(t *testing.T) {
	is := is.New(t)
	body := func() io.ReadCloser { return io.NopCloser(strings.NewReader("order")) }
	read := &exchange{body: &sealableBody{ReadCloser: body()}}
	_, err := read.body.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!read.notSent()) // a byte was read for sending
	_, err = read.body.Read(make([]byte, 8))
	is.NoErr(err)

	unread := &exchange{body: &sealableBody{ReadCloser: body()}}
	is.True(unread.notSent())
	_, err = unread.body.Read(make([]byte, 1))
	is.Equal(err, errSealed) // the body is never read
	is.True(unread.notSent())

	is.True((&exchange{}).notSent()) // the HTTP/2 client was never called
}

func TestExchangeAcceptsOneRequest(t *testing.T) {
	is := is.New(t)
	ctx, x := withExchange(t.Context(), &conn{})
	x.body = &sealableBody{}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/", nil)
	is.NoErr(err)
	_, err = exchangeClient{}.Do(req)
	is.True(err != nil)
}

func TestFrameScannerFindsGoAwayAcrossReads(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	fr := http2.NewFramer(&b, nil)
	is.NoErr(fr.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 1 << 20}))
	is.NoErr(fr.WriteData(1, false, bytes.Repeat([]byte{frameGoAway}, 100)))
	is.NoErr(fr.WritePing(true, [8]byte{}))
	before := b.Len()
	is.NoErr(fr.WriteGoAway(3, http2.ErrCodeEnhanceYourCalm, []byte("calm")))
	is.NoErr(fr.WriteData(1, true, []byte("end")))
	all := b.Bytes()
	for step := 1; step <= len(all); step++ {
		var s frameScanner
		at := -1
		for i := 0; i < len(all); i += step {
			end := min(len(all), i+step)
			if code, found := s.scan(all[i:end]); found {
				is.Equal(code, uint32(http2.ErrCodeEnhanceYourCalm))
				is.Equal(at, -1) // found once
				at = end
			}
		}
		is.True(at > before)
	}
}
