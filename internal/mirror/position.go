package mirror

import (
	"cmp"
	"slices"
)

// Position is a point in the store's history. The store counts one revision over all keys. It may come back from a copy
// that lacks its latest changes: then its era rises by one, and it gives the same revisions out again. So revisions are
// comparable within an era only.
type Position struct{ Era, Revision uint64 }

// Compare compares the eras, then the revisions.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Progress lists, for each era that a copy holds, the revision up to which it knows every item. The newest era is first.
type Progress []Position

// Newest returns the position in the newest era; zero if the copy is empty.
func (p Progress) Newest() Position {
	if len(p) == 0 {
		return Position{}
	}
	return p[0]
}

// Lacks reports whether a copy with this progress lacks something that one with the other progress has. Eras before the
// newest one that it doesn't hold don't count: it may have dropped them.
func (p Progress) Lacks(other Progress) bool {
	return slices.ContainsFunc(other, func(o Position) bool {
		revision, holds := p.in(o.Era)
		return (holds || o.Era >= p.Newest().Era) && o.Revision > revision
	})
}

// in returns the revision in the era, and whether the copy holds that era.
func (p Progress) in(era uint64) (revision uint64, holds bool) {
	i := slices.IndexFunc(p, func(at Position) bool { return at.Era == era })
	if i < 0 {
		return 0, false
	}
	return p[i].Revision, true
}
