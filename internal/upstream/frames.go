package upstream

import "encoding/binary"

// The parts of the HTTP/2 framing (RFC 9113, section 4.1) needed to recognize a GOAWAY frame.
const (
	frameHeaderLen = 9
	frameGoAway    = 0x7
	// goAwayLen is the length of the fixed part of a GOAWAY payload: last stream and error code.
	goAwayLen = 8
	// goAwayNoError is the error code of a graceful shutdown.
	goAwayNoError = 0
)

// frameScanner follows the frames of a byte stream and detects GOAWAY. The HTTP/2 client reports a
// GOAWAY only to calls that fail because of it, but it must be detected on an idle connection too.
// Only the reading goroutine uses it.
type frameScanner struct {
	// head holds the bytes read so far of the frame header and, for GOAWAY, of the fixed part of
	// the payload; headRead is their number.
	head     [frameHeaderLen + goAwayLen]byte
	headRead int
	// payloadRemaining is how many bytes of the payload are still to come.
	payloadRemaining int
}

// scan consumes the next bytes and returns the error code of a GOAWAY whose fixed part ends in
// them.
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

// headLen is how many bytes of head are needed before the frame can be classified.
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
