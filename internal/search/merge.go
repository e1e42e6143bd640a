package search

import (
	"cmp"
	"container/heap"
	"slices"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// compareHits orders hits by descending score, ties by document and then by shard. Equal answers therefore give equal
// results in whatever order they arrive.
func compareHits(a, b *pb.Hit) int {
	if c := cmp.Compare(b.GetScore(), a.GetScore()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.GetDocument(), b.GetDocument()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetShard(), b.GetShard())
}

// worstFirst is a heap of hits with the worst at the top.
type worstFirst []*pb.Hit

func (h worstFirst) Len() int           { return len(h) }
func (h worstFirst) Less(i, j int) bool { return compareHits(h[i], h[j]) > 0 }
func (h worstFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *worstFirst) Push(x any) { *h = append(*h, x.(*pb.Hit)) }

// Pop implements heap.Interface.
func (h *worstFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// merge returns the best topK hits of the answers, best first.
func merge(answers []*pb.LeafSearchResponse, topK int) []*pb.Hit {
	best := make(worstFirst, 0, topK+1)
	for _, a := range answers {
		for _, hit := range a.GetHits() {
			best.offer(hit, topK)
		}
	}
	slices.SortFunc(best, compareHits)
	return best
}

// offer keeps the hit if it is among the best n.
func (h *worstFirst) offer(hit *pb.Hit, n int) {
	if len(*h) < n {
		heap.Push(h, hit)
		return
	}
	if n > 0 && compareHits(hit, (*h)[0]) < 0 {
		(*h)[0] = hit
		heap.Fix(h, 0)
	}
}
