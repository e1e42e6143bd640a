package node

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
)

// fixedAnswerServer gives every exchange the same answer.
type fixedAnswerServer struct {
	burdockv1connect.UnimplementedFleetServiceHandler
	msg *pb.FleetExchange
}

func (a fixedAnswerServer) Exchange(context.Context, *pb.FleetExchange) (*pb.FleetExchange, error) {
	return a.msg, nil
}

// fullState returns an answer with the platform's full state: an entry of about 250 bytes for each leaf.
func fullState(leaves int) *pb.FleetExchange {
	msg := &pb.FleetExchange{CompleteTo: 9, Full: true}
	for i := range leaves {
		id := fmt.Sprintf("i-%010x", uint64(i+1)*2654435761%(1<<40))
		value := fmt.Sprintf(`{"id":%q,"service":"shard-%d","zone":"zone-%d","address":"10.%d.64.%d:8585","born":17%011d,"slots":7,"queue":21,`+
			`"connections":195,"warmup_ms":0,"capabilities":["search","load"],"lease_s":6,"renewed":%d}`, id, i/3, i%5, i%5+1, i%250, i*104729, i*31)
		msg.Items = append(msg.Items, &pb.FleetItem{Key: "leaf/" + id, Revision: uint64(i), Value: []byte(value)})
	}
	return msg
}

// response describes a response of the server as sent.
type response struct {
	encoding string
	bytes    int
}

// serveState serves the message and records the encoding and size of the latest response.
func serveState(t testing.TB, msg *pb.FleetExchange) (address string, last *response) {
	last = new(response)
	_, h := burdockv1connect.NewFleetServiceHandler(fixedAnswerServer{msg: msg}, fleetHandlerOptions()...)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		*last = response{rec.Header().Get("Content-Encoding"), rec.Body.Len()}
		for k, v := range rec.Header() {
			w.Header()[k] = v
		}
		w.Header().Set("Content-Length", strconv.Itoa(rec.Body.Len()))
		_, _ = bytes.NewReader(rec.Body.Bytes()).WriteTo(w)
	}))
	t.Cleanup(s.Close)
	return s.Listener.(*net.TCPListener).Addr().String(), last
}

// Exchanges are compressed unless they are small.
func TestExchangesAreCompressed(t *testing.T) {
	is := is.New(t)
	state := fullState(700)
	address, last := serveState(t, state)
	dial := dialPeers("127.0.0.1")
	got, err := dial(address).Exchange(t.Context(), &pb.FleetExchange{})
	is.NoErr(err)
	is.Equal(len(got.GetItems()), 700)
	is.Equal(last.encoding, gzipName)
	is.True(last.bytes < proto.Size(state)/4)

	small, last := serveState(t, fullState(1))
	_, err = dial(small).Exchange(t.Context(), &pb.FleetExchange{})
	is.NoErr(err)
	is.Equal(last.encoding, "")
}

// Requests that name members are not compressed. Otherwise each of the hundreds of clients in a large fleet
// would allocate a compressor of a megabyte.
func TestTypicalRequestsAllocateNoCompressor(t *testing.T) {
	is := is.New(t)
	dial := dialPeers("127.0.0.1")
	address, _ := serveState(t, fullState(1))
	req := fullState(20)
	exchange := func() {
		_, err := dial(address).Exchange(t.Context(), req)
		is.NoErr(err)
	}
	exchange()
	const clients = 50
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range clients {
		exchange()
	}
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < clients<<18) // at most a quarter of a megabyte for each exchange in total
}

// captureHeader refuses one request and delivers the value of its header.
func captureHeader(t *testing.T, header string) (address string, said <-chan string) {
	values := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		values <- r.Header.Get(header)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), values
}

// A request with a large part of the state is compressed as well.
func TestLargeRequestsAreCompressed(t *testing.T) {
	is := is.New(t)
	address, encoding := captureHeader(t, "Content-Encoding")
	_, err := dialPeers("127.0.0.1")(address).Exchange(t.Context(), fullState(700))
	is.True(err != nil)
	is.Equal(<-encoding, gzipName)
}

// Searches that are handed over stay in the zone, so they are not compressed.
func TestSearchesHandedOverAreNotCompressed(t *testing.T) {
	is := is.New(t)
	address, accepted := captureHeader(t, "Accept-Encoding")
	_, err := dialGatherers("127.0.0.1")(address).Ping(t.Context(), &pb.FleetPing{})
	is.True(err != nil)
	is.True(!strings.Contains(<-accepted, gzipName))
}

// BenchmarkWholeState measures the cost of sending another VM the state of a platform of 700 leaves.
func BenchmarkWholeState(b *testing.B) {
	for name, encoding := range map[string]string{"whole": "", "compressed": gzipName} {
		b.Run(name, func(b *testing.B) {
			msg := fullState(700)
			_, h := burdockv1connect.NewFleetServiceHandler(fixedAnswerServer{msg: msg}, fleetHandlerOptions()...)
			for b.Loop() {
				req := httptest.NewRequest(http.MethodPost, burdockv1connect.FleetServiceExchangeProcedure, bytes.NewReader(nil))
				req.Header.Set("Content-Type", "application/proto")
				req.Header.Set("Accept-Encoding", encoding)
				rec := httptest.NewRecorder()
				h.ServeHTTP(rec, req)
				b.SetBytes(int64(rec.Body.Len()))
			}
		})
	}
}
