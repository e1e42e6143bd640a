package membudget

import (
	"context"
	"errors"
	"io"
)

// Errors of ReadAll.
var (
	// ErrNoMemory: the budget is used up.
	ErrNoMemory = errors.New("membudget: no memory")
	// ErrTooLong: there are more bytes than allowed.
	ErrTooLong = errors.New("membudget: too long")
)

// firstReadBytes is the size of the buffer of ReadAll at first.
const firstReadBytes = 2 << 10

// ReadAll reads all of r, at most limit bytes, and makes h hold its buffer beyond free bytes. declared is how many bytes are
// announced; below 0 if that is unknown. It returns what it has read also with an error.
func (h *Holder) ReadAll(r io.Reader, declared, limit, free int64) ([]byte, error) {
	return h.readAll(r, declared, limit, free, h.Grow)
}

// AwaitReadAll is like ReadAll, and waits until there is memory, until ctx ends.
func (h *Holder) AwaitReadAll(ctx context.Context, r io.Reader, declared, limit, free int64) ([]byte, error) {
	return h.readAll(r, declared, limit, free, func(n int64) bool { return h.AwaitGrow(ctx, n) })
}

func (h *Holder) readAll(r io.Reader, declared, limit, free int64, grow func(n int64) bool) ([]byte, error) {
	size := int64(firstReadBytes)
	if declared >= 0 {
		size = min(size, declared+1)
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		h.Progress(int64(n))
		switch {
		case int64(len(body)) > limit:
			return body, ErrTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case len(body) < cap(body):
			continue
		}
		next := min(GrownSize(int64(cap(body)), declared), limit+1)
		if next > free && !grow(next-max(int64(cap(body)), free)) {
			return body, ErrNoMemory
		}
		body = append(make([]byte, 0, next), body...)
	}
}

// GrownSize returns the size of the buffer that follows one that is full: twice as large, but no larger than what is announced
// and the byte after it, by which the end is found. declared is below 0 if nothing is announced.
func GrownSize(size, declared int64) int64 {
	next := 2 * size
	if declared >= size {
		next = min(next, declared+1)
	}
	return max(next, size+1)
}
