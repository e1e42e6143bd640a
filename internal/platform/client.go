// Package platform reads the operator's configuration service: keys, and the list of VMs and upstreams, by
// single reads and by long polls. It never writes.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	// maxValueBytes is the size of the longest value that the platform stores.
	maxValueBytes = 1 << 20
	// maxListBytes bounds the list: 10,000 entries of 400 bytes.
	maxListBytes = 4 << 20
	// readTimeout bounds a single read. A long poll may take this long beyond its wait.
	readTimeout = 2 * time.Second
	// readRate, in reads per second, and readBurst bound the reads of one process, so that no fault in it can
	// use up the capacity that all readers share. The burst admits a first bundle, which is read section by
	// section.
	readRate  = 10
	readBurst = 400

	headerRevision = "Platform-Revision"
	pathKeys       = "/v1/keys/"
	pathList       = "/v1/list"
)

// ErrNotFound reports that the platform answered that the key does not exist.
var ErrNotFound = errors.New("not found")

// Error is a failed read.
type Error struct {
	// Path is the path of the read, which contains the key.
	Path string
	// Address is the address of the platform.
	Address string
	// Status is the HTTP status, or 0 where there was no answer.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("sync.platform: read %s at %s: status %d: %v", e.Path, e.Address, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Answered reports whether the platform itself answered a read that returned err, so that it is reachable.
func Answered(err error) bool { return err == nil || errors.Is(err, ErrNotFound) }

// Value is the answer to a read.
type Value struct {
	Revision uint64
	Body     []byte
	// Changed is false where a long poll ended without a change. Body is empty then.
	Changed bool
}

// Client reads from one platform. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	limit   *rate.Limiter
	metrics *metrics
}

// New returns a client of the platform at address (HOST:PORT) whose connections come from the address bind. It
// registers its metrics with reg unless reg is nil.
func New(address, bind string, reg prometheus.Registerer) *Client {
	d := rpc.Dialer(bind)
	return &Client{
		address: address,
		http:    &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 2}},
		limit:   rate.NewLimiter(readRate, readBurst),
		metrics: newMetrics(reg),
	}
}

// Get reads a key. Where the key does not exist, the error is an *Error that wraps ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, readKey, pathKeys+key, nil, readTimeout, maxValueBytes)
}

// Watch waits until the key's revision is above after, for wait at most.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	return c.read(ctx, watchKey, pathKeys+key, pollQuery(after, wait), wait+readTimeout, maxValueBytes)
}

// List reads the list, which is JSON.
func (c *Client) List(ctx context.Context) (Value, error) {
	return c.read(ctx, readList, pathList, nil, readTimeout, maxListBytes)
}

// WatchList waits until the list's revision is above after, for wait at most.
func (c *Client) WatchList(ctx context.Context, after uint64, wait time.Duration) (Value, error) {
	return c.read(ctx, watchList, pathList, pollQuery(after, wait), wait+readTimeout, maxListBytes)
}

func pollQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
}

// read waits for the rate limit, does one read within the time limit and counts it in the metrics.
func (c *Client) read(ctx context.Context, kind readKind, path string, query url.Values, limit time.Duration, maxBytes int64) (Value, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return Value{}, &Error{Path: path, Address: c.address, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	v, status, err := c.do(ctx, path, query, maxBytes)
	c.metrics.count(kind, v, err)
	if err != nil {
		return v, &Error{Path: path, Address: c.address, Status: status, Err: err}
	}
	return v, nil
}

func (c *Client) do(ctx context.Context, path string, query url.Values, maxBytes int64) (Value, int, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Value{}, 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	v, err := readValue(resp, maxBytes)
	return v, resp.StatusCode, err
}

// readValue converts an HTTP response to a value.
func readValue(resp *http.Response, maxBytes int64) (v Value, err error) {
	revision := resp.Header.Get(headerRevision)
	if v.Revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
		return Value{}, fmt.Errorf("header %s is %q", headerRevision, revision)
	}
	switch resp.StatusCode {
	case http.StatusNoContent:
		return v, nil
	case http.StatusNotFound:
		return v, ErrNotFound
	case http.StatusOK:
	default:
		return v, errors.New("unexpected status")
	}
	v.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(v.Body)) > maxBytes {
		err = fmt.Errorf("value is longer than %d bytes", maxBytes)
	}
	v.Changed = err == nil
	return v, err
}
