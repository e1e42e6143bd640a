package platform

import (
	"net/http"
	"strconv"

	"github.com/burdockplank/burdockplank/internal/standin/control"
)

// controlHandler serves the control listener: publishing, faults and read counts.
func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.HandleFunc("PUT /keys/{key...}", p.putKey)
	mux.HandleFunc("PUT /list", p.putList)
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, p.Faults()) })
	mux.HandleFunc("GET /reads", func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, p.Reads()) })
	return mux
}

func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	data, ok := control.ReadAll(w, r)
	if !ok {
		return
	}
	setRevision(w, p.PutKey(r.PathValue("key"), data))
}

func (p *Platform) putList(w http.ResponseWriter, r *http.Request) {
	var l List
	if !control.ReadJSON(w, r, &l) {
		return
	}
	if reason := checkList(&l); reason != "" {
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	setRevision(w, p.PutList(l))
}

// checkList returns the reason why the list is invalid, or "". It sets absent states to live.
func checkList(l *List) string {
	for i := range l.VMs {
		if !checkState(&l.VMs[i].State) {
			return "vms[" + strconv.Itoa(i) + "]: state: want live or leaving"
		}
	}
	for i := range l.Leaves {
		if !checkState(&l.Leaves[i].State) {
			return "leaves[" + strconv.Itoa(i) + "]: state: want live or leaving"
		}
	}
	return ""
}

func checkState(s *State) bool {
	if *s == "" {
		*s = StateLive
	}
	return *s == StateLive || *s == StateLeaving
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !control.ReadJSON(w, r, &f) {
		return
	}
	if err := p.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
