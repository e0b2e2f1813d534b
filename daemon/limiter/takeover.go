package limiter

import (
	"context"
	"maps"
	"sync"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

// Released is the answer of a daemon that was asked to lend no more of the limits of
// an organisation.
type Released struct {
	// Refused means that the daemon ranks above the caller and stays the home.
	Refused bool
	// Lent means that it has lent; the last time was LentAgo before.
	Lent    bool
	LentAgo clock.Millis
}

// successor is the daemon to which an organisation was released. It counts as the home
// until a time, since the view may not hold it yet.
type successor struct {
	name  string
	until clock.Millis
	// lent means that this daemon had lent, the last time at lentAt.
	lent   bool
	lentAt clock.Millis
}

// releaseTimeout bounds the calls of a home that opens an account. A daemon waits for its loan
// meanwhile, for borrowTimeout.
const releaseTimeout = borrowTimeout * 5 / 6

// newsTime is how long the news of a daemon that has started, or that was taken for gone,
// may take to reach all others.
const newsTime = 4 * clock.Second

// homeOf returns the name of the organisation's home as this daemon knows it, or the
// empty string. A home that leaves stays it until another asks to release the limits:
// before, that one may not know yet that it is the home.
func (l *Limiter) homeOf(organisation string, members []gossiper.Member) string {
	self := l.View.Self()
	l.mu.Lock()
	next, found := l.successors[organisation]
	holds := l.homeLender.Holds(organisation)
	l.mu.Unlock()
	if holds && isOutgoingHome(self, organisation, members) {
		return self.Name
	}
	if found && l.Clock.Now() < next.until {
		return next.name
	}
	return homeName(members, organisation)
}

// isOutgoingHome reports whether this daemon leaves and would be the home if it stayed.
func isOutgoingHome(self gossiper.Member, organisation string, members []gossiper.Member) bool {
	if self.State != gossiper.Leaving {
		return false
	}
	next := homeName(members, organisation)
	return next == "" || sharder.Rank(self.Name, organisation) > sharder.Rank(next, organisation)
}

// Release answers another daemon that takes itself for the home of an organisation. It
// closes the account here unless this daemon ranks above the caller. A call that comes again
// gets the same answer.
func (l *Limiter) Release(caller, organisation string) (out Released) {
	l.prepare()
	self := l.View.Self()
	if sharder.IsEligible(self) && sharder.Rank(self.Name, organisation) > sharder.Rank(caller, organisation) {
		return Released{Refused: true}
	}
	now := l.Clock.Now()
	l.mu.Lock()
	held := l.homeLender.Holds(organisation)
	lentAt, lent := l.homeLender.Close(organisation)
	if earlier, found := l.successors[organisation]; found && !lent {
		lentAt, lent = earlier.lentAt, earlier.lent
	}
	l.successors[organisation] = successor{name: caller, until: now + newsTime, lent: lent, lentAt: lentAt}
	l.mu.Unlock()
	if held {
		klog.InfoS("limits released to a new home", "organisation", organisation, "home", caller, "lent", lent, "lent_at", lentAt)
	}
	if lent {
		out.Lent, out.LentAgo = true, now-lentAt
	}
	return out
}

// openAccount makes sure that the organisation, whose home this daemon is, has an
// account here. One request at a time asks the daemons that may have lent before; the
// others wait for it. It returns the name of a daemon that claims to be the home.
func (l *Limiter) openAccount(ctx context.Context, organisation string, terms Terms, members []gossiper.Member) (otherHome string) {
	for {
		l.mu.Lock()
		opening := l.openings[organisation]
		switch {
		case l.homeLender.Holds(organisation):
			l.mu.Unlock()
			return ""
		case opening == nil:
			opening = make(chan struct{})
			l.openings[organisation] = opening
			l.mu.Unlock()
			defer close(opening)
			return l.takeOver(ctx, organisation, terms, members)
		}
		l.mu.Unlock()
		select {
		case <-opening:
		case <-ctx.Done():
			return ""
		}
	}
}

// takeOver opens the account of an organisation from the time since when nobody else has
// lent its limits.
func (l *Limiter) takeOver(ctx context.Context, organisation string, terms Terms, members []gossiper.Member) (otherHome string) {
	start := l.homes.earliestTenure()
	since, asked, silent := start, 0, 0
	if self := l.View.Self().Name; l.homes.isNewHome(l.Clock.Now(), organisation, self, members) {
		former := l.homes.formerHomes(organisation, self, members)
		asked = len(former)
		since, silent, otherHome = l.askToRelease(ctx, organisation, former)
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openings, organisation)
	if otherHome != "" {
		return otherHome
	}
	var extra Extra
	if since == start && !l.homes.resumed() {
		extra = l.RestartExtra
	}
	l.homeLender.Open(now, terms, organisation, since, extra)
	if asked > 0 {
		klog.InfoS("limits taken over as home", "organisation", organisation, "since", since, "members", len(members), "asked", asked, "silent", silent)
	}
	return ""
}

// reviewAccounts gives up what this daemon must not lend any more: all accounts once the
// others may have taken it for gone, else the buckets of organisations that have
// another home.
func (l *Limiter) reviewAccounts(now clock.Millis) {
	self, members := l.View.Self(), l.View.Members()
	resumed := l.homes.isResumed(self)
	if resumed {
		l.homes.resume(now, self)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.successors, func(_ string, next successor) bool { return now >= next.until })
	for _, organisation := range l.homeLender.Organisations() {
		switch {
		case resumed:
			l.homeLender.Close(organisation)
		case homeName(members, organisation) != self.Name && !isOutgoingHome(self, organisation, members):
			l.homeLender.Drain(now, organisation)
		}
	}
	if resumed {
		klog.InfoS("limits are taken over anew, because other daemons may have lent them", "incarnation", self.Incarnation)
	}
}

// askToRelease asks the daemons that may have been the home to lend no more. It returns
// since when none of them has lent: now, if one does not answer. otherHome names one
// that stays the home.
func (l *Limiter) askToRelease(ctx context.Context, organisation string, former []gossiper.Member) (since clock.Millis, silent int, otherHome string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout.Duration())
	defer cancel()
	since = l.homes.earliestTenure()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range former {
		calls.Go(func() {
			released, err := l.AskRelease(ctx, m, organisation)
			now := l.Clock.Now()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				since = now
				silent++
			case released.Refused:
				otherHome = m.Name
			case released.Lent:
				since = max(since, now-released.LentAgo)
			}
		})
	}
	calls.Wait()
	return since, silent, otherHome
}
