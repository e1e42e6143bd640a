package directory

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
)

// registration is what is known of one key of a leaf, also beyond the removal of its entry.
type registration struct {
	// revision of the entry that this was made from.
	revision uint64
	leaf     catalog.Leaf
	// usable is false where the entry names no leaf to use.
	usable bool
	// born is the latest start that any entry of the key told.
	born int64
}

// addTo shows the leaf as one that may take work.
func (r registration) addTo(v *View) {
	if r.usable && !r.leaf.Draining {
		v.Leaves[r.leaf.Service] = append(v.Leaves[r.leaf.Service], r.leaf)
	}
}

// Reasons why an entry is ignored though it decodes.
var (
	errOlderStart = eris.New("the leaf has started again since")
	errNoStart    = eris.New("the entry doesn't tell the leaf's start")
	errAhead      = eris.New("the leaf's start lies ahead")
)

// register takes a new entry of a key, err where it can't be decoded. A late entry of an earlier start doesn't
// displace the newer leaf; one that no leaf wrote names no leaf until a good one is in its place. Requires mu.
func (d *Directory) register(it mirror.Held, leaf catalog.Leaf, err error, now time.Time) registration {
	known := d.leaves[it.Key]
	born := leaf.ID.StartMillis
	switch {
	case err != nil:
	case born > now.Add(bornAhead).UnixMilli():
		err = errAhead
	case born == 0 && known.born > 0:
		err = errNoStart
	case born < known.born && known.usable:
		d.ignore(it, errOlderStart)
		known.revision = it.Revision
		return known
	case born < known.born:
		err = errOlderStart
	}
	if err != nil {
		d.ignore(it, err)
		return registration{revision: it.Revision, born: known.born}
	}
	if known.usable && known.leaf.ID != leaf.ID {
		d.log.Info("leaf started again", zap.Stringer("leaf", leaf.ID), zap.Int64("before", known.born),
			zap.String("service", leaf.Service), zap.Uint64("revision", it.Revision))
	}
	return registration{revision: it.Revision, leaf: leaf, usable: true, born: born}
}

// ignore counts an entry that changes nothing or names no leaf, and tells of it as far as lines are left.
func (d *Directory) ignore(it mirror.Held, why error) {
	d.ignored.Inc()
	if d.ignoredLines.Allow() {
		d.log.Warn("entry of a leaf ignored", zap.String("key", it.Key), zap.Uint64("revision", it.Revision), zap.Int("bytes", len(it.Value)), zap.Error(why))
	}
}
