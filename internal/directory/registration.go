package directory

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
)

// registration is the state of one key of a leaf. It outlives the removal of the entry.
type registration struct {
	// at is the position of the entry that the registration was made from.
	at mirror.Position
	// receivedAt is when this VM received that entry.
	receivedAt time.Time
	leaf       catalog.Leaf
	// usable is false if the entry does not name a usable leaf.
	usable bool
	// latestStart is the latest start time of the leaf in any accepted entry of the key, in Unix milliseconds; 0 if
	// none had one.
	latestStart int64
}

// Reasons to ignore an entry that can be decoded.
var (
	errOlderStart    = eris.New("the leaf has restarted since the entry was written")
	errNoStart       = eris.New("the entry has no start time although an earlier one had")
	errStartInFuture = eris.New("the leaf's start time is too far in the future")
)

// register returns the registration for a new entry of a key; err is the error of decoding it. A late entry of an
// earlier start does not displace the newer leaf. After an entry that was not written by a leaf, the key names no
// leaf until it has a valid entry again. The caller must hold mu.
func (d *Directory) register(it mirror.ReceivedItem, leaf catalog.Leaf, err error, now time.Time) registration {
	known := d.leaves[it.Key]
	born := leaf.ID.StartMillis
	switch {
	case err != nil:
	case born > now.Add(maxStartAhead).UnixMilli():
		err = errStartInFuture
	case born == 0 && known.latestStart > 0:
		err = errNoStart
	case born < known.latestStart && known.usable:
		d.ignore(it, errOlderStart)
		known.at = it.At
		return known
	case born < known.latestStart:
		err = errOlderStart
	}
	if err != nil {
		d.ignore(it, err)
		return registration{at: it.At, latestStart: known.latestStart}
	}
	if known.usable && known.leaf.ID != leaf.ID {
		d.log.Info("leaf started again", zap.Stringer("leaf", leaf.ID), zap.Int64("before", known.latestStart),
			zap.String("service", leaf.Service), zap.Uint64("revision", it.Revision))
	}
	return registration{at: it.At, receivedAt: it.ReceivedAt, leaf: leaf, usable: true, latestStart: born}
}

// ignore counts an entry that changes nothing or names no leaf, and logs it within the rate limit.
func (d *Directory) ignore(it mirror.ReceivedItem, reason error) {
	d.metrics.ignored.Inc()
	if d.ignoredLogLimiter.Allow() {
		d.log.Warn("entry of a leaf ignored", zap.String("key", it.Key), zap.Uint64("revision", it.Revision), zap.Int("bytes", len(it.Value)), zap.Error(reason))
	}
}
