package ticket

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func grant() Grant {
	return Grant{
		WitnessVM: "vm-2", WitnessIncarnation: 9, Expires: time.UnixMilli(1_800_000_000_123),
		Caller: "booking-desk", Service: "teachers", Kind: "book",
	}
}

func mint(t *testing.T, m *Minter, g Grant) *Ticket {
	t.Helper()
	minted, ok := m.Mint(g)
	is.New(t).True(ok)
	return minted
}

func TestTextRoundTrip(t *testing.T) {
	is := is.New(t)
	m := NewMinter("vm-1", 7)
	longest := Grant{
		WitnessVM: strings.Repeat("w", maxNameBytes), WitnessIncarnation: 1, Expires: time.UnixMilli(maxExpiresMillis),
		Caller: strings.Repeat("c", maxNameBytes), Service: strings.Repeat("s", maxNameBytes), Kind: strings.Repeat("k", maxNameBytes),
	}
	withoutWitness := grant()
	withoutWitness.WitnessVM, withoutWitness.WitnessIncarnation = "", 0
	for _, g := range []Grant{grant(), longest, withoutWitness} {
		want := mint(t, m, g)
		text := want.Text()
		got, err := Parse(text)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(got.Text(), text)
		is.True(m.Check(got))
	}
	full := mint(t, NewMinter(strings.Repeat("v", maxNameBytes), 7), longest)
	is.True(len(full.Text()) <= MaxTextBytes) // the longest names still fit
}

func TestSequenceNumbersIncrease(t *testing.T) {
	is := is.New(t)
	m := NewMinter("vm-1", 7)
	a, b := mint(t, m, grant()), mint(t, m, grant())
	is.True(a.Sequence < b.Sequence)
	m.count.Store(^uint32(0))
	_, ok := m.Mint(grant())
	is.True(!ok) // the numbers are used up, and none is minted twice
}

func TestCheckDetectsEveryChange(t *testing.T) {
	m := NewMinter("vm-1", 7)
	changes := map[string]func(*Ticket){
		"vm":          func(t *Ticket) { t.VM = "vm-3" },
		"incarnation": func(t *Ticket) { t.Incarnation++ },
		"sequence":    func(t *Ticket) { t.Sequence++ },
		"expires":     func(t *Ticket) { t.Expires = t.Expires.Add(time.Second) },
		"caller":      func(t *Ticket) { t.Caller = "portal" },
		"service":     func(t *Ticket) { t.Service = "clips" },
		"kind":        func(t *Ticket) { t.Kind = "restore" },
		"witness":     func(t *Ticket) { t.WitnessVM, t.WitnessIncarnation = "", 0 },
		"mac":         func(t *Ticket) { t.MAC[0] ^= 1 },
		"other key":   func(c *Ticket) { o, _ := NewMinter("vm-1", 7).Mint(grant()); *c = *o },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			changed := mint(t, m, grant())
			change(changed)
			is.New(t).True(!m.Check(changed))
		})
	}
}

func TestParseRejectsInvalidText(t *testing.T) {
	good := mint(t, NewMinter("vm-1", 7), grant())
	edit := func(change func(*Ticket)) string {
		c := *good
		change(&c)
		return c.Text()
	}
	cases := map[string]struct{ text, field string }{
		"empty":           {"", "text"},
		"other version":   {"bp2." + good.Text()[4:], "text"},
		"too long":        {prefix + strings.Repeat("A", MaxTextBytes), "text"},
		"not base64":      {prefix + "!!", "text"},
		"line break":      {good.Text() + "\n", "text"},
		"cut short":       {good.Text()[:20], "incarnation"},
		"bytes after":     {prefix + encoding.EncodeToString(append(append(good.body(), good.MAC...), 0)), "text"},
		"empty caller":    {edit(func(t *Ticket) { t.Caller = "" }), "caller"},
		"upper case":      {edit(func(t *Ticket) { t.Service = "Teachers" }), "service"},
		"long kind":       {edit(func(t *Ticket) { t.Kind = strings.Repeat("k", maxNameBytes+1) }), "kind"},
		"no incarnation":  {edit(func(t *Ticket) { t.Incarnation = 0 }), "incarnation"},
		"no sequence":     {edit(func(t *Ticket) { t.Sequence = 0 }), "sequence"},
		"long ago":        {edit(func(t *Ticket) { t.Expires = time.UnixMilli(1) }), "expires"},
		"far off":         {edit(func(t *Ticket) { t.Expires = time.UnixMilli(maxExpiresMillis + 1) }), "expires"},
		"witness of zero": {edit(func(t *Ticket) { t.WitnessIncarnation = 0 }), "witness_incarnation"},
		"short mac":       {edit(func(t *Ticket) { t.MAC = t.MAC[:8] }), "mac"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(c.text)
			var pe *ParseError
			is.True(errors.As(err, &pe))
			is.Equal(pe.Field, c.field)
		})
	}
}

func FuzzParse(f *testing.F) {
	good, _ := NewMinter("vm-1", 7).Mint(grant())
	withoutWitness, _ := NewMinter("vm-1", 7).Mint(Grant{Expires: grant().Expires, Caller: "a", Service: "b", Kind: "c"})
	f.Add(good.Text())
	f.Add(withoutWitness.Text())
	f.Add(prefix)
	f.Add(good.Text() + "\n")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse(text)
		var pe *ParseError
		switch {
		case err == nil && parsed.Text() != text:
			t.Fatalf("text %q reads as %q", text, parsed.Text())
		case err != nil && !errors.As(err, &pe):
			t.Fatalf("untyped error %v", err)
		}
	})
}
