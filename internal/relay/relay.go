// Package relay forwards TCP connections and UDP packets on loopback, so that tests and scenarios
// can cut, silence and delay the traffic between VMs by rules set while it runs. It is not part of the
// product.
//
// The target sees the client's own IP address, since outgoing connections are bound to it.
package relay

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/standin/control"
)

// Relay owns the forwards, the rules and the open connections.
type Relay struct {
	control net.Listener
	tcp     []*tcpForward
	udp     []*udpForward
	// wg counts the goroutines of forwards, connections and UDP flows.
	wg sync.WaitGroup

	mu sync.Mutex
	// rules and links are guarded by mu.
	rules []Rule
	links map[*link]struct{}
}

// New opens all listeners. Run serves them.
func New(s Settings) (*Relay, error) {
	r := &Relay{links: make(map[*link]struct{})}
	for _, f := range s.Forwards {
		if err := r.addForward(f); err != nil {
			r.closeForwards()
			return nil, err
		}
	}
	c, err := net.Listen("tcp", s.Control)
	if err != nil {
		r.closeForwards()
		return nil, eris.Wrap(err, "relay: control listener")
	}
	r.control = c
	return r, nil
}

func (r *Relay) addForward(f Forward) error {
	if slices.Contains(f.Networks, TCP) {
		t, err := r.newTCPForward(f)
		if err != nil {
			return err
		}
		r.tcp = append(r.tcp, t)
	}
	if slices.Contains(f.Networks, UDP) {
		u, err := r.newUDPForward(f)
		if err != nil {
			return err
		}
		r.udp = append(r.udp, u)
	}
	return nil
}

// Run forwards until ctx ends, then resets all connections.
func (r *Relay) Run(ctx context.Context) error {
	for _, f := range r.tcp {
		r.wg.Go(f.run)
	}
	for _, f := range r.udp {
		r.wg.Go(f.run)
	}
	err := control.Serve(ctx, r.control, r.controlHandler())
	r.closeForwards()
	r.resetLinks()
	r.wg.Wait()
	return err
}

func (r *Relay) closeForwards() {
	for _, f := range r.tcp {
		_ = f.listener.Close()
	}
	for _, f := range r.udp {
		f.close()
	}
}

// resetLinks resets the open connections and each new one.
func (r *Relay) resetLinks() {
	r.SetRules([]Rule{{From: Any, To: Any, Mode: ModeCut}})
}

// ControlAddr returns the address of the control listener.
func (r *Relay) ControlAddr() string { return r.control.Addr().String() }

// Rules returns a copy of the current rules.
func (r *Relay) Rules() []Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Rule{}, r.rules...)
}

// SetRules replaces the rules and applies them to the open connections before it returns.
func (r *Relay) SetRules(rules []Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.rules
	r.rules = slices.Clone(rules)
	for k := range r.links {
		k.apply(evaluate(rules, k.from, k.to), silencesEstablished(old, rules, k.from, k.to))
	}
}

// evaluate returns the effect of the current rules on traffic between two addresses.
func (r *Relay) evaluate(from, to string) effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return evaluate(r.rules, from, to)
}

// add registers a new connection and applies the current rules to it.
func (r *Relay) add(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[k] = struct{}{}
	k.apply(evaluate(r.rules, k.from, k.to), false)
}

// remove unregisters a connection that has ended, and closes its client side.
func (r *Relay) remove(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, k)
	_ = k.client.Close()
}

// controlHandler returns the HTTP handler for reading and setting the rules.
func (r *Relay) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.HandleFunc("GET /rules", func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, r.Rules()) })
	mux.HandleFunc("PUT /rules", r.putRules)
	return mux
}

func (r *Relay) putRules(w http.ResponseWriter, req *http.Request) {
	var rules []Rule
	if !control.ReadJSON(w, req, &rules) {
		return
	}
	for i := range rules {
		if err := rules[i].check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	r.SetRules(rules)
}
