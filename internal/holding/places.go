package holding

import "time"

const (
	// searchBytes is what a search in flight holds in buffers and parts, singleBytes what a request to one leaf does.
	searchBytes, singleBytes = 200 << 10, 32 << 10
	// initialHold is how long a request is assumed to be in flight before the first one has ended.
	initialHold = 100 * time.Millisecond
	// holdWeight is the weight of a request in the mean time in flight.
	holdWeight = 0.05
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is asked to retry.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, 5 * time.Second
)

// Places bounds the requests that are held at once by their memory. It is not safe for concurrent use.
type Places struct {
	limit, used int64
	// meanHold is the mean time that a request is in flight. nextRetry is when there is a place for the next refused
	// request.
	meanHold  time.Duration
	nextRetry time.Time
}

// NewPlaces returns the places of a process with the given memory limit.
func NewPlaces(memoryBytes int64) *Places {
	return &Places{limit: shareOf(requestShare, memoryBytes), meanHold: initialHold}
}

// requestBytes returns what a request holds. bodyBytes is the length of its body; 0 or less if unknown.
func requestBytes(search bool, bodyBytes int64) int64 {
	n := int64(singleBytes)
	if search {
		n = searchBytes
	}
	return n + min(max(bodyBytes, 0), maxMemoryBytes)
}

// Take takes a place of the given size. Otherwise it returns after which time there should be one. A request that is
// larger than all places together is admitted while nothing else is held.
func (p *Places) Take(now time.Time, bytes int64) (ok bool, retryAfter time.Duration) {
	if p.used > 0 && p.used+bytes > p.limit {
		return false, p.schedule(now, bytes)
	}
	p.used += bytes
	return true, 0
}

// schedule returns the time until places of the given size become free that no earlier refusal was told of.
func (p *Places) schedule(now time.Time, bytes int64) time.Duration {
	if earliest := now.Add(p.meanHold); p.nextRetry.Before(earliest) {
		p.nextRetry = earliest
	}
	retryAfter := min(max(p.nextRetry.Sub(now), minRetryAfter), maxRetryAfter)
	share := min(float64(bytes)/float64(p.limit), 1)
	p.nextRetry = now.Add(retryAfter + time.Duration(share*float64(p.meanHold)))
	return retryAfter
}

// Release returns a place that was taken for the given time.
func (p *Places) Release(bytes int64, hold time.Duration) {
	p.used = max(0, p.used-bytes)
	p.meanHold += time.Duration(holdWeight * float64(min(max(hold, 0), maxRetryAfter)-p.meanHold))
}
