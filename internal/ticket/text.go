package ticket

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

const (
	// prefix identifies the version of the text form. A new layout needs a new prefix.
	prefix = "bp1."
	// MaxTextBytes is the length of the longest accepted text.
	MaxTextBytes = 512
	// MACSize is the length of a MAC in bytes.
	MACSize = 16
	// maxNameBytes is the length of the longest VM, caller, service or kind.
	maxNameBytes = 63
	// minExpiresMillis and maxExpiresMillis bound the expiry, in Unix milliseconds: the years 2000
	// to 2200.
	minExpiresMillis = 946_684_800_000
	maxExpiresMillis = 7_258_118_400_000
)

// encoding is unpadded URL-safe base64. Strict rejects non-zero trailing padding bits, so that each
// ticket has one text only.
var encoding = base64.RawURLEncoding.Strict()

// ParseError names the field of a ticket's text that is invalid, and why. It never contains the
// text.
type ParseError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("ticket: %s: %s", e.Field, e.Reason)
}

// Text returns the URL-safe text of the ticket, at most MaxTextBytes long.
func (t *Ticket) Text() string {
	return prefix + encoding.EncodeToString(append(t.body(), t.MAC...))
}

// Identity returns the fleet-wide id of the ticket for logs and dumps. It contains no MAC.
func (t *Ticket) Identity() string {
	return fmt.Sprintf("%s/%016x/%016x", t.VM, t.Incarnation, t.Sequence)
}

// HasWitness reports whether a witness must note the intent of the order.
func (t *Ticket) HasWitness() bool { return t.WitnessVM != "" }

// body encodes all fields but the MAC. Names are prefixed by a length byte and numbers have a fixed
// width, so that each ticket has exactly one encoding.
func (t *Ticket) body() []byte {
	b := make([]byte, 0, MaxTextBytes/2)
	b = appendName(b, t.VM)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expires.UnixMilli()))
	b = appendName(b, t.Caller)
	b = appendName(b, t.Service)
	b = appendName(b, t.Kind)
	b = appendName(b, t.WitnessVM)
	if t.HasWitness() {
		b = binary.BigEndian.AppendUint64(b, t.WitnessIncarnation)
	}
	return b
}

func appendName(b []byte, s string) []byte {
	return append(append(b, byte(len(s))), s...)
}

// Parse decodes the text of a ticket. It is strict: Text of the returned ticket equals the accepted
// text. The error is a *ParseError. The MAC is not checked.
func Parse(text string) (*Ticket, error) {
	if len(text) > MaxTextBytes {
		return nil, &ParseError{"text", "too long"}
	}
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return nil, &ParseError{"text", "not a ticket of this version"}
	}
	if strings.ContainsAny(rest, "\r\n") {
		return nil, &ParseError{"text", "line break"}
	}
	raw, err := encoding.DecodeString(rest)
	if err != nil {
		return nil, &ParseError{"text", "not base64"}
	}
	r := &reader{remaining: raw}
	t := r.ticket()
	if r.err != nil {
		return nil, r.err
	}
	return t, nil
}

// reader decodes fields from remaining. After the first error it returns zero values.
type reader struct {
	remaining []byte
	err       *ParseError
}

func (r *reader) ticket() *Ticket {
	t := &Ticket{
		VM:          r.name("vm"),
		Incarnation: r.positive("incarnation"),
		Sequence:    r.positive("sequence"),
		Expires:     r.expires(),
		Caller:      r.name("caller"),
		Service:     r.name("service"),
		Kind:        r.name("kind"),
	}
	t.WitnessVM = r.optionalName("witness")
	if t.HasWitness() {
		t.WitnessIncarnation = r.positive("witness_incarnation")
	}
	t.MAC = r.take("mac", MACSize)
	if len(r.remaining) != 0 {
		r.fail("text", "bytes after the end")
	}
	return t
}

func (r *reader) fail(field, reason string) {
	if r.err == nil {
		r.err = &ParseError{field, reason}
	}
}

func (r *reader) take(field string, n int) []byte {
	if r.err != nil || len(r.remaining) < n {
		r.fail(field, "cut short")
		return nil
	}
	b := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return b
}

func (r *reader) optionalName(field string) string {
	length := r.take(field, 1)
	if length == nil {
		return ""
	}
	if length[0] > maxNameBytes {
		r.fail(field, "too long")
		return ""
	}
	s := string(r.take(field, int(length[0])))
	if s != "" && !settings.ValidName(s) {
		r.fail(field, "not a name")
	}
	return s
}

func (r *reader) name(field string) string {
	s := r.optionalName(field)
	if s == "" {
		r.fail(field, "empty")
	}
	return s
}

func (r *reader) positive(field string) uint64 {
	b := r.take(field, 8)
	if b == nil {
		return 0
	}
	n := binary.BigEndian.Uint64(b)
	if n == 0 {
		r.fail(field, "zero")
	}
	return n
}

func (r *reader) expires() time.Time {
	ms := r.positive("expires")
	if ms < minExpiresMillis || ms > maxExpiresMillis {
		r.fail("expires", "out of range")
		return time.Time{}
	}
	return time.UnixMilli(int64(ms)).UTC()
}
