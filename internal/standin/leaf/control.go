package leaf

import (
	"net/http"

	"github.com/burdockplank/burdockplank/internal/standin/control"
)

// controlHandler serves the control listener: faults, index versions, shards and logs.
func (l *Leaf) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.HandleFunc("PUT /faults", l.putFaults)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, l.Faults()) })
	mux.HandleFunc("PUT /snapshots", l.putSnapshots)
	mux.HandleFunc("GET /snapshots", func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, l.Snapshots()) })
	mux.HandleFunc("PUT /shards", l.putShards)
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, l.Log()) })
	mux.HandleFunc("DELETE /log", func(http.ResponseWriter, *http.Request) { l.ClearLog() })
	return mux
}

func (l *Leaf) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !control.ReadJSON(w, r, &f) {
		return
	}
	if err := l.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// partition is the set of shards that a leaf has of one index version.
type partition struct {
	Snapshot uint64   `json:"snapshot"`
	Shards   []uint32 `json:"shards"`
}

func (l *Leaf) putShards(w http.ResponseWriter, r *http.Request) {
	var p partition
	if control.ReadJSON(w, r, &p) {
		l.SetShards(p.Snapshot, p.Shards)
	}
}

func (l *Leaf) putSnapshots(w http.ResponseWriter, r *http.Request) {
	var versions []uint64
	if control.ReadJSON(w, r, &versions) {
		l.SetSnapshots(versions)
	}
}
