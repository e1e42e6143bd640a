package route

import "github.com/burdockplank/burdockplank/internal/feed"

// AllServicesReachable tells whether the view names a gather that takes new work for each service of its bundle.
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
