package reserver

import (
	"context"
	"math/rand/v2"
	"slices"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// Bounds of learning at the start what upstreams say of themselves.
const (
	// learnTimeout bounds the wait for one daemon, and maxTeachers the daemons that are asked in turn.
	learnTimeout = 250 * clock.Millisecond
	maxTeachers  = 2
	// memberPollInterval is the time between two looks for another daemon.
	memberPollInterval = 20 * clock.Millisecond
	// teacherAge is how many milliseconds a daemon has been running for longer that has heard of upstreams.
	teacherAge = int64(10 * clock.Second)
)

// learnWords lets another daemon tell what upstreams say of themselves, and closes wordsLearned then or when
// none has answered. Over its link a daemon tells all that it knows, and then answers the heartbeat.
func (r *Remote) learnWords(ctx context.Context) {
	defer close(r.wordsLearned)
	began := r.Clock.Now()
	var asked []string
	for ctx.Err() == nil && len(asked) < maxTeachers {
		teacher, found := r.nextTeacher(asked)
		settled := r.Settled == nil || r.Settled()
		if !found && settled {
			break
		}
		// Daemons of this region know most of its upstreams; they may just not be found yet.
		if !settled && (!found || teacher.Region != r.View.Self().Region) {
			clock.Sleep(ctx, memberPollInterval)
			continue
		}
		asked = append(asked, teacher.Name)
		if r.learnFrom(ctx, teacher) {
			klog.InfoS("learned what upstreams say of themselves", "from", teacher.Name, "took_ms", r.Clock.Now()-began)
			return
		}
	}
	klog.InfoS("no daemon told what upstreams say of themselves", "asked", asked, "took_ms", r.Clock.Now()-began)
}

// nextTeacher returns a daemon that is alive and was not asked yet: one of this region if there is any, and one that
// has run for longer than this one if there is any.
func (r *Remote) nextTeacher(asked []string) (teacher gossiper.Member, found bool) {
	self := r.View.Self()
	var best []gossiper.Member
	bestRank := 0
	for _, m := range r.View.Members() {
		if m.Name == self.Name || m.State != gossiper.Alive || slices.Contains(asked, m.Name) {
			continue
		}
		switch rank := teacherRank(self, m); {
		case len(best) == 0 || rank < bestRank:
			best, bestRank = []gossiper.Member{m}, rank
		case rank == bestRank:
			best = append(best, m)
		}
	}
	if len(best) == 0 {
		return teacher, false
	}
	return best[rand.IntN(len(best))], true
}

// teacherRank is lower for a daemon that self should rather ask.
func teacherRank(self, m gossiper.Member) (rank int) {
	if m.Region != self.Region {
		rank += 2
	}
	if self.Incarnation-m.Incarnation < teacherAge {
		rank++
	}
	return rank
}

// learnFrom opens a link to a daemon and reports whether that has told all that it knows.
func (r *Remote) learnFrom(ctx context.Context, teacher gossiper.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout.Duration())
	defer cancel()
	l := r.linkTo(teacher)
	if connected, _ := r.awaitLink(ctx, l); !connected {
		return false
	}
	l.pushOrClose(heartbeatMessage())
	select {
	case <-l.answered:
		return true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// linkForAsks returns the link to a scheduler. That of this process knows no more than this daemon does, so that it
// is asked for nothing before the words are learned.
func (r *Remote) linkForAsks(ctx context.Context, scheduler gossiper.Member) *link {
	if scheduler.Name == r.View.Self().Name {
		r.awaitWords(ctx)
	}
	return r.linkTo(scheduler)
}

// awaitWords waits until this daemon has been told what upstreams say of themselves, or none has answered.
func (r *Remote) awaitWords(ctx context.Context) {
	select {
	case <-r.wordsLearned:
	case <-ctx.Done():
	}
}
