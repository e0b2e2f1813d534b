package reserver

import (
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
)

// allowsRegion reports whether a request may run in a region by the configuration in force.
func allowsRegion(config *inventory.Config, req *classifier.Request, region string) bool {
	return config.HomesInForce(req.Route, req.Organisation, req.Homes).Allow(region)
}

// allowsUpstream reports whether an upstream may get a request by the configuration in force: it
// lies in a home of the request and is not evacuated. It is asked once more right before a request
// is sent, since the configuration may have changed after the slot was granted.
func allowsUpstream(config *inventory.Config, req *classifier.Request, u inventory.Upstream) bool {
	return allowsRegion(config, req, u.Region) && !config.Evacuates(u)
}

// mayBeLimited reports whether an upstream has to be expected to take less than its slots allow:
// it names a limit, or says that it is cold.
func (r *Remote) mayBeLimited(u inventory.Upstream) bool {
	word, _ := r.Noticer.WordOf(u.Name)
	return word.Limited || u.ColdLeftMS > 0
}
