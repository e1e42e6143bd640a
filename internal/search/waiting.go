package search

import "sync"

// waiting wakes searches that wait for a slot of a leaf, the longest waiting first.
type waiting struct {
	mu sync.Mutex
	// byLeaf holds the wake channels of waiting runs, oldest first; guarded by mu.
	byLeaf map[string][]chan struct{}
	// runs counts the runs that wait; guarded by mu.
	runs int
}

func newWaiting() *waiting { return &waiting{byLeaf: make(map[string][]chan struct{})} }

// add registers wake at the leaves.
func (w *waiting) add(wake chan struct{}, leaves []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range leaves {
		if !contains(w.byLeaf[l], wake) {
			w.byLeaf[l] = append(w.byLeaf[l], wake)
		}
	}
}

func contains(list []chan struct{}, c chan struct{}) bool {
	for _, o := range list {
		if o == c {
			return true
		}
	}
	return false
}

// remove drops wake from the leaves.
func (w *waiting) remove(wake chan struct{}, leaves []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range leaves {
		list := w.byLeaf[l]
		for i, o := range list {
			if o == wake {
				w.byLeaf[l] = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		if len(w.byLeaf[l]) == 0 {
			delete(w.byLeaf, l)
		}
	}
}

// freed wakes the run that has waited longest for the leaf.
func (w *waiting) freed(leaf string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.byLeaf[leaf]
	if len(list) == 0 {
		return
	}
	first := list[0]
	w.byLeaf[leaf] = list[1:]
	select {
	case first <- struct{}{}:
	default:
	}
}

// enter counts a run that begins to wait; false where n wait already.
func (w *waiting) enter(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs >= n {
		return false
	}
	w.runs++
	return true
}

func (w *waiting) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs--
}
