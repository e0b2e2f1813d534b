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

// crowd is a View of many members.
type crowd []gossiper.Member

func (c crowd) Self() gossiper.Member      { return c[0] }
func (c crowd) Members() []gossiper.Member { return slices.Clone(c) }

// BenchmarkCurrent measures what a request pays to learn who schedules, with
// 350 daemons before 4,500 upstreams, while nothing changes.
func BenchmarkCurrent(b *testing.B) {
	var members crowd
	for i := range 350 {
		members = append(members, member(fmt.Sprintf("d%03d", i), fmt.Sprint("region-", i%6), gossiper.Alive))
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
