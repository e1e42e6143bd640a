package search

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestOnlyAbsentPrimaryIsReplaced guards against a text that ends more leaves than promised. That happens if gathers,
// of which one sees a leaf out of use and another does not, differ in more than that one leaf.
func TestOnlyAbsentPrimaryIsReplaced(t *testing.T) {
	is := is.New(t)
	service, fleet := groups(4)
	r := newRig("az-a", service, fleet, nil)
	for n := range 200 {
		k := newRanking(newRun(t.Context(), r.engine, &query{service: service, text: fmt.Sprint("text ", n)}, choosePlan(service, r.engine.fleet()), 0))
		primaries := k.primaries()
		is.Equal(len(primaries), maxFirstRunLeaves)
		for gone := range service.Leaves {
			chosen := k.withSubstitutes(func(l string) bool { return l == gone })
			is.Equal(len(chosen), maxFirstRunLeaves)
			for i, p := range chosen {
				is.Equal(p.leaf == primaries[i].leaf, primaries[i].leaf != gone)
				is.Equal(p.zone, primaries[i].zone)
			}
		}
		chosen := k.withSubstitutes(func(l string) bool { return service.Leaves[l].Zone == "az-b" })
		is.Equal(len(chosen), maxFirstRunLeaves-1) // the primary of a lost zone is not replaced
		is.True(!slices.ContainsFunc(chosen, func(p ranked) bool { return p.zone == "az-b" }))
	}
}
