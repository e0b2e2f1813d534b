package sharder_test

import (
	"fmt"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

type source struct{ config *inventory.Config }

func (s source) Current() *inventory.Config { return s.config }

// staticView is a gossiper.View whose members don't change.
type staticView []gossiper.Member

func (v staticView) Self() gossiper.Member      { return v[0] }
func (v staticView) Members() []gossiper.Member { return slices.Clone(v) }

// BenchmarkCurrent measures the cost of looking up the assignment for a request,
// with 350 daemons and 4,500 upstreams, while nothing changes. It also measures
// the computation of the layout.
func BenchmarkCurrent(b *testing.B) {
	var members staticView
	for i := range 350 {
		members = append(members, newMember(fmt.Sprintf("d%03d", i), fmt.Sprint("region-", i%6), gossiper.Alive))
	}
	c := inventory.Config{}
	for i := range 4_500 {
		c.Upstreams = append(c.Upstreams, inventory.Upstream{
			Name: fmt.Sprintf("u%04d", i), Pool: fmt.Sprint("pool-", i%3), Region: fmt.Sprint("region-", i%6), Slots: 1,
		})
	}
	b.Run("members_read_each_time", func(b *testing.B) {
		a := &sharder.Assigner{Source: source{&c}, View: members}
		for b.Loop() {
			a.Current()
		}
	})
	b.Run("members_kept", func(b *testing.B) {
		a := &sharder.Assigner{Source: source{&c}, View: members, Clock: clock.System{}}
		for b.Loop() {
			a.Current()
		}
	})
	b.Run("layout", func(b *testing.B) {
		for b.Loop() {
			sharder.New(&c)
		}
	})
}
