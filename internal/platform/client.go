// Package platform reads the operator's configuration service: keys and the list of VMs and
// upstreams, by single reads and by long polls. It never writes.
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
	// maxValueBytes is the longest value that the platform holds.
	maxValueBytes = 1 << 20
	// maxListBytes bounds the list: 10,000 entries of 400 bytes.
	maxListBytes = 4 << 20
	// readTimeout bounds a read; a long poll has it on top of its wait.
	readTimeout = 2 * time.Second
	// readRate and readBurst bound the reads of one process, so that no fault here can use up what
	// all readers share. The burst lets a first bundle through, section by section.
	readRate  = 10
	readBurst = 400

	headerRevision = "Platform-Revision"
	pathKeys       = "/v1/keys/"
	pathList       = "/v1/list"
)

// ErrNotFound says that the platform answered that the key does not exist.
var ErrNotFound = errors.New("not found")

// Error is a read that failed.
type Error struct {
	// Path of the read, which tells the key.
	Path string
	// Address of the platform.
	Address string
	// Status is the HTTP status, 0 where there was no answer.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("sync.platform: read %s at %s: status %d: %v", e.Path, e.Address, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Answered tells whether the platform itself answered, so that it was reached.
func Answered(err error) bool { return err == nil || errors.Is(err, ErrNotFound) }

// Value is the answer to a read.
type Value struct {
	Revision uint64
	Body     []byte
	// Changed is false where a long poll ended without a change; there is no body then.
	Changed bool
}

// Client reads one platform. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	limit   *rate.Limiter
	metrics *metrics
}

// New returns a client of the platform at address (HOST:PORT) whose connections come from bind.
func New(address, bind string, reg prometheus.Registerer) *Client {
	d := rpc.Dialer(bind)
	return &Client{
		address: address,
		http:    &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 2}},
		limit:   rate.NewLimiter(readRate, readBurst),
		metrics: newMetrics(reg),
	}
}

// Get reads a key. The error is ErrNotFound, in an *Error, where the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, readKey, pathKeys+key, nil, readTimeout, maxValueBytes)
}

// Watch waits until the key's revision is above after, at most for wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	return c.read(ctx, watchKey, pathKeys+key, pollQuery(after, wait), wait+readTimeout, maxValueBytes)
}

// List reads the list as JSON.
func (c *Client) List(ctx context.Context) (Value, error) {
	return c.read(ctx, readList, pathList, nil, readTimeout, maxListBytes)
}

// WatchList waits until the list's revision is above after, at most for wait.
func (c *Client) WatchList(ctx context.Context, after uint64, wait time.Duration) (Value, error) {
	return c.read(ctx, watchList, pathList, pollQuery(after, wait), wait+readTimeout, maxListBytes)
}

func pollQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
}

// read does one read and counts it.
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

// readValue turns an answer into a value.
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
