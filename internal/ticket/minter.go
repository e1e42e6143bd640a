package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"
)

const (
	// macDomain separates the MAC of a ticket from any other use of a key.
	macDomain = "burdockplank ticket v1\n"
	keySize   = 32
	// countShift is the position of the counter in a sequence number. The high half counts up, so
	// that later tickets have higher numbers. The low half is random, which makes the next number
	// hard to guess.
	countShift = 32
)

// Grant holds the fields of a ticket to be minted.
type Grant struct {
	// WitnessVM and WitnessIncarnation are empty if no witness is available.
	WitnessVM          string
	WitnessIncarnation uint64
	Expires            time.Time
	Caller             string
	Service            string
	Kind               string
}

// Minter mints and checks the tickets of one incarnation. Its key is generated at start, kept in
// memory only and never sent. It is safe for concurrent use.
type Minter struct {
	vm          string
	incarnation uint64
	key         [keySize]byte
	count       atomic.Uint32
}

// NewMinter returns a Minter with a new key for the incarnation of the VM's gather.
func NewMinter(vm string, incarnation uint64) *Minter {
	m := &Minter{vm: vm, incarnation: incarnation}
	_, _ = rand.Read(m.key[:])
	return m
}

// Mint returns a new ticket. Each ticket has a higher sequence number than the one before. Mint
// returns false once the numbers of this incarnation are used up.
func (m *Minter) Mint(g Grant) (*Ticket, bool) {
	n := m.count.Add(1)
	if n == 0 {
		m.count.Add(^uint32(0))
		return nil, false
	}
	t := &Ticket{
		VM: m.vm, Incarnation: m.incarnation, Sequence: uint64(n)<<countShift | randomLowBits(),
		WitnessVM: g.WitnessVM, WitnessIncarnation: g.WitnessIncarnation,
		Expires: g.Expires.UTC().Truncate(time.Millisecond),
		Caller:  g.Caller, Service: g.Service, Kind: g.Kind,
	}
	t.MAC = m.mac(t)
	return t, true
}

// Check reports whether this minter minted exactly this ticket. It compares the MACs in constant
// time.
func (m *Minter) Check(t *Ticket) bool {
	own := t.VM == m.vm && t.Incarnation == m.incarnation
	return hmac.Equal(t.MAC, m.mac(t)) && own
}

func (m *Minter) mac(t *Ticket) []byte {
	h := hmac.New(sha256.New, m.key[:])
	h.Write([]byte(macDomain))
	h.Write(t.body())
	return h.Sum(nil)[:MACSize]
}

func randomLowBits() uint64 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return uint64(binary.BigEndian.Uint32(b[:]))
}
