package reserver

import (
	"yuccaspread/common/wire"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sharder"
)

// Order returns the shards that would be asked for a slot for a request, in this order: those of this
// daemon's region, then those of others, the nearest first.
func (r *Remote) Order(req *classifier.Request) (shards []sharder.Shard) {
	r.prepare()
	self := r.View.Self().Region
	shards = append(shards, r.rankedShards(self, req)...)
	for _, region := range r.Assigner.Current().Layout.Nearest(self) {
		shards = append(shards, r.rankedShards(region, req)...)
	}
	return shards
}

// AskFor returns the ask for a slot for a request at a shard.
func (r *Remote) AskFor(req *classifier.Request, shard sharder.Shard, excluded []string) *wire.Ask {
	r.prepare()
	ask := (&reservation{want: want{request: req, excluded: excluded}, remote: r, shard: shard.ID}).wireAsk()
	ask.Avoided = r.avoidedUpstreams(shard)
	return ask
}
