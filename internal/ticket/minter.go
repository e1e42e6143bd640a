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
	// macDomain keeps the MAC of a ticket apart from any other use of a key.
	macDomain = "burdockplank ticket v1\n"
	keySize   = 32
	// countShift leaves the low half of a sequence number to chance: the high half counts up, so
	// that later tickets have higher numbers, the low half makes the next one hard to guess.
	countShift = 32
)

// Grant is what a minted ticket is for.
type Grant struct {
	// WitnessVM and WitnessIncarnation are empty where no witness is at hand.
	WitnessVM          string
	WitnessIncarnation uint64
	Expires            time.Time
	Caller             string
	Service            string
	Kind               string
}

// Minter mints and checks the tickets of one incarnation. Its key is drawn at boot, kept in memory
// only and never sent. It is safe for concurrent use.
type Minter struct {
	vm          string
	incarnation uint64
	key         [keySize]byte
	count       atomic.Uint32
}

// NewMinter returns a minter with a new key for the incarnation of the VM's gather.
func NewMinter(vm string, incarnation uint64) *Minter {
	m := &Minter{vm: vm, incarnation: incarnation}
	_, _ = rand.Read(m.key[:])
	return m
}

// Mint returns a new ticket. Sequence numbers rise with each; it returns false where the numbers
// of this incarnation are used up.
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

// Check tells whether this minter minted exactly this ticket. The MACs are compared in constant
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
