package upstream

import "encoding/binary"

// The parts of the HTTP/2 framing (RFC 9113, section 4.1) that tell of a peer's departure.
const (
	frameHeaderLen = 9
	frameGoAway    = 0x7
	// goAwayLen is the fixed part of a GOAWAY frame: last stream and error code.
	goAwayLen = 8
	// goAwayNoError is the error code of a graceful shutdown.
	goAwayNoError = 0
)

// frameScanner follows the frames of a byte stream and finds GOAWAY. The HTTP/2 client shows a
// GOAWAY only to calls that fail by it; an idle connection has to tell of it as well. It is used by
// the one goroutine that reads.
type frameScanner struct {
	// head is the frame header, and for GOAWAY the fixed part of the payload, as far as read.
	head     [frameHeaderLen + goAwayLen]byte
	headRead int
	// payloadRemaining is how much payload is still to come.
	payloadRemaining int
}

// scan takes the next bytes and returns the error code of a GOAWAY that ends in them.
func (f *frameScanner) scan(b []byte) (code uint32, found bool) {
	for len(b) > 0 {
		if f.payloadRemaining > 0 {
			n := min(f.payloadRemaining, len(b))
			f.payloadRemaining -= n
			b = b[n:]
			continue
		}
		n := copy(f.head[f.headRead:f.headLen()], b)
		f.headRead += n
		b = b[n:]
		if f.headRead < f.headLen() {
			continue
		}
		if f.isGoAway() {
			code, found = binary.BigEndian.Uint32(f.head[frameHeaderLen+4:]), true
		}
		f.payloadRemaining = f.payload() - (f.headRead - frameHeaderLen)
		f.headRead = 0
	}
	return code, found
}

// headLen is how many bytes of head have to be read before the frame can be judged.
func (f *frameScanner) headLen() int {
	if f.headRead >= frameHeaderLen && f.isGoAway() {
		return frameHeaderLen + goAwayLen
	}
	return frameHeaderLen
}

func (f *frameScanner) isGoAway() bool { return f.head[3] == frameGoAway && f.payload() >= goAwayLen }

func (f *frameScanner) payload() int {
	return int(f.head[0])<<16 | int(f.head[1])<<8 | int(f.head[2])
}
