package route

import "github.com/burdockplank/burdockplank/internal/feed"

// AllServicesReachable reports whether the view has a gather that accepts new work for each service of its
// bundle. It is false without a bundle.
func AllServicesReachable(v *feed.View) bool {
	if v.Bundle == nil {
		return false
	}
	for _, svc := range v.Bundle.Services {
		if len(candidates(svc, v.Zone, v.VMs)) == 0 {
			return false
		}
	}
	return true
}
