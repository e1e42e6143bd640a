package dispatch

import (
	"bytes"
	"slices"
)

// recordBytes is the length of one record of a part, in bytes.
const recordBytes = 16

// mergedAnswer returns the answer of a search: the greatest records of the parts received, in descending order.
func (r *run) mergedAnswer() *Answer {
	a := &Answer{Outcome: Served}
	var bodies [][]byte
	for i := range r.groups {
		if p := r.groups[i].part; p != nil {
			a.Signatures = append(a.Signatures, p.Signature)
			bodies = append(bodies, p.Body)
		}
	}
	a.Missing = len(r.groups) - len(a.Signatures)
	if a.Missing > 0 {
		a.Reason = ReasonPartial
		r.noteOpenGroups()
	}
	a.Records = topRecords(bodies, r.route.TopK)
	return r.answer(a)
}

// topRecords returns the k greatest records of the bodies in descending order, compared byte by byte. Equal
// records are all kept. A remainder shorter than a record is ignored.
func topRecords(bodies [][]byte, k int) []byte {
	var records [][]byte
	for _, b := range bodies {
		for ; len(b) >= recordBytes; b = b[recordBytes:] {
			records = append(records, b[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(k, len(records))], nil)
}
