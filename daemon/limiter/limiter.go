package limiter

import (
	"context"
	"maps"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
)

const (
	// tickInterval is the time between calls of Tick.
	tickInterval = 1 * clock.Second
	// borrowTimeout bounds one call to a home daemon.
	borrowTimeout = 300 * clock.Millisecond
	// patientBorrowTimeout bounds a call whose request would have to be refused without
	// an answer. It is no longer than the shortest time after which a refused caller
	// comes back.
	patientBorrowTimeout = 1 * clock.Second
	// maxHomesAsked is the number of daemons that are asked in turn where the views of
	// the fleet differ for a moment.
	maxHomesAsked = 3
	// settlePollInterval is the time between two looks whether the view is settled.
	settlePollInterval = 20 * clock.Millisecond
	// maxSettleWait bounds the wait of a request for that, and unsettledRetryAfter is the time after
	// which its caller may retry, here or elsewhere.
	maxSettleWait       = 2 * clock.Second
	unsettledRetryAfter = 1 * clock.Second
	// unreachablePause is how long a home that did not answer is not called again.
	unreachablePause = 1 * clock.Second
)

// Limiter is a Reserver that admits requests within the limits of their
// organisation and passes them on to Next. Its exported fields are set before
// use.
type Limiter struct {
	Next   reserver.Reserver
	Source inventory.Source
	View   gossiper.View
	Clock  clock.Clock
	// Borrow asks another daemon for loans and returns them in the order of the
	// wants.
	Borrow func(ctx context.Context, home gossiper.Member, wants []Want) ([]Loan, error)
	// AskRelease calls Release of another daemon on behalf of this one.
	AskRelease func(ctx context.Context, member gossiper.Member, organisation string) (Released, error)
	// Settled reports whether View holds the daemons of the fleet; nil means that it
	// always does. Until then nothing is lent or borrowed, because a daemon that knows
	// only a part of the fleet takes the wrong one for the home.
	Settled func() bool
	// RestartExtra flows into a bucket of tokens that starts empty, where no daemon knows
	// of a loan since the start of this one. However often daemons restart, an organisation
	// may exceed its limit in any span by RestartExtra.PerSecond times the span.
	RestartExtra Extra
	// MaxOwnPartOverdraft is the number of tokens that all daemons together may lend beyond
	// their own parts of a limit while its home does not answer; 0 means no bound.
	MaxOwnPartOverdraft int
	// Registerer registers the metrics; with nil they are not exported.
	Registerer prometheus.Registerer

	once    sync.Once
	metrics *metrics
	homes   homes

	mu       sync.Mutex
	borrower Borrower
	// homeLender lends to all daemons for the organisations whose home this daemon
	// is; ownPartLender lends to this daemon only, while a home does not answer.
	homeLender    Lender
	ownPartLender Lender
	// pendingLoans holds a channel for each organisation for which a loan is being
	// requested; it is closed when the loan arrives.
	pendingLoans map[string]chan struct{}
	// openings holds a channel for each organisation whose account is being opened
	// here; it is closed when that has ended.
	openings map[string]chan struct{}
	// successors holds the daemons to which organisations were released lately.
	successors map[string]successor
	// silences holds the homes that left the last call unanswered, by name.
	silences map[string]silence
	// lastAskedAt is when another daemon last asked this one for loans. isolated
	// means that none did and that a check reached too few daemons.
	lastAskedAt clock.Millis
	isolated    bool
}

// silence is the time in which a home has answered no call.
type silence struct {
	// since is when the first of these calls was made.
	since clock.Millis
	// pausedUntil is the time until which the home is not called.
	pausedUntil clock.Millis
}

func (l *Limiter) prepare() {
	l.once.Do(func() {
		l.metrics = newMetrics(l.Registerer)
		l.pendingLoans = map[string]chan struct{}{}
		l.openings = map[string]chan struct{}{}
		l.successors = map[string]successor{}
		l.silences = map[string]silence{}
		l.homes = homes{aloneSince: l.Clock.Now(), incarnation: l.View.Self().Incarnation, regionsSeen: map[string]bool{}, departed: map[string]departedMember{}}
	})
}

// Run renews and returns loans until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.prepare()
	ticker := clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Tick(ctx)
		}
	}
}

// Reserve implements reserver.Reserver.
func (l *Limiter) Reserve(ctx context.Context, req *classifier.Request, excluded []string) (slot reserver.Slot, err error) {
	l.prepare()
	organisation, _ := inventory.Lookup(l.Source.Current().Organisations, req.Organisation)
	terms := TermsOf(organisation)
	if !terms.Bounded() {
		return l.Next.Reserve(ctx, req, excluded)
	}
	firstAttempt := len(excluded) == 0
	if err = l.admit(ctx, req, terms, firstAttempt); err != nil {
		return nil, err
	}
	slot, err = l.Next.Reserve(ctx, req, excluded)
	if err != nil {
		l.refund(req, firstAttempt)
		return nil, err
	}
	return &limitedSlot{Slot: slot, limiter: l, request: req, firstAttempt: firstAttempt, outputPrepaid: organisation.TokensInAdvance}, nil
}

// chargedTokens returns the number of tokens that a request is charged when it
// is admitted.
func chargedTokens(req *classifier.Request) int { return max(req.ChargedTokens, req.PromptTokens) }

// admit counts the request or returns a refusal, borrowing if need be. The loop
// ends, because a loan that falls short leads to a refusal and one that does not
// lets some request pass.
func (l *Limiter) admit(ctx context.Context, req *classifier.Request, terms Terms, firstAttempt bool) (err error) {
	for ctx.Err() == nil {
		verdict, retry, pending := l.tryAdmit(req, terms, firstAttempt)
		switch {
		case verdict == Admitted:
			return nil
		case verdict == Refused:
			return l.newRefusal(req.Organisation, max(retry, 1))
		case pending == nil:
			l.requestLoan(ctx, req, terms)
		default:
			l.awaitLoan(ctx, req.Organisation, pending)
		}
	}
	return ctx.Err()
}

// tryAdmit tries to admit a request from the balance. With NeedsLoan, pending is
// closed when the loan that is already being requested arrives; if it is nil,
// the caller has to call requestLoan.
func (l *Limiter) tryAdmit(req *classifier.Request, terms Terms, firstAttempt bool) (verdict Verdict, retry clock.Millis, pending chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, retry = l.borrower.Admit(l.Clock.Now(), req.Organisation, terms, chargedTokens(req), firstAttempt)
	pending = l.pendingLoans[req.Organisation]
	if verdict == NeedsLoan && pending == nil {
		l.pendingLoans[req.Organisation] = make(chan struct{})
	}
	return verdict, retry, pending
}

// awaitLoan waits for the loan that another request has asked for.
func (l *Limiter) awaitLoan(ctx context.Context, organisation string, pending chan struct{}) {
	l.addWaiting(organisation, 1)
	defer l.addWaiting(organisation, -1)
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

func (l *Limiter) addWaiting(organisation string, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.AddWaiting(organisation, change)
}

func (l *Limiter) newRefusal(organisation string, retry clock.Millis) error {
	l.metrics.refusals.Inc()
	refusal := refuser.New(http.StatusTooManyRequests, "organisation limit", "organisation "+organisation+" has used up its limits")
	refusal.RetryAfter = retry
	return refusal
}

// requestLoan borrows for one request; other requests of the organisation wait
// meanwhile.
func (l *Limiter) requestLoan(ctx context.Context, req *classifier.Request, terms Terms) {
	now := l.Clock.Now()
	l.mu.Lock()
	want := l.borrower.WantForRequest(now, req.Organisation, chargedTokens(req))
	l.mu.Unlock()
	loan := l.borrowOne(ctx, now, terms, want)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.AddLoan(now, l.Clock.Now(), req.Organisation, loan)
	close(l.pendingLoans[req.Organisation])
	delete(l.pendingLoans, req.Organisation)
}

// borrowOne returns a loan from the home, or from this daemon's own part of the
// limits while the home does not answer. A daemon that knows a newer home names it;
// that one is asked too.
func (l *Limiter) borrowOne(ctx context.Context, now clock.Millis, terms Terms, want Want) (loan Loan) {
	if !l.awaitSettled(ctx) {
		return Loan{RetryAfter: unsettledRetryAfter}
	}
	home := l.home(want.Organisation)
	patient := !l.mayOverdrawOwnPart(want)
	for range maxHomesAsked {
		loans, err := l.borrowFrom(ctx, home, []Want{want}, patient)
		if err != nil {
			break
		}
		if loans[0].Home == "" {
			return loans[0]
		}
		// What was returned with the want counts here again.
		other, found := l.member(loans[0].Home)
		if !found {
			break
		}
		home = other
	}
	return l.lendOwnPart(now, terms, want)
}

// awaitSettled waits until this daemon knows the fleet, and returns false if ctx ends first or that
// takes too long for a caller to wait.
func (l *Limiter) awaitSettled(ctx context.Context) bool {
	for until := l.Clock.Now() + maxSettleWait; l.Settled != nil && !l.Settled(); {
		if ctx.Err() != nil || l.Clock.Now() >= until {
			return false
		}
		clock.Sleep(ctx, settlePollInterval)
	}
	return true
}

// member returns the member of a name.
func (l *Limiter) member(name string) (member gossiper.Member, found bool) {
	for _, m := range l.View.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return member, false
}

// lendOwnPart lends from this daemon's own part of the limits, which are split
// evenly between the daemons.
func (l *Limiter) lendOwnPart(now clock.Millis, terms Terms, want Want) Loan {
	l.metrics.ownPartLoans.Inc()
	index, count := l.homes.position(l.View)
	l.mu.Lock()
	defer l.mu.Unlock()
	part := terms.Part(index, count).ReducedForPartition()
	want.NoOverdraft = !l.mayOverdrawOwnPart(want)
	l.ownPartLender.Open(now, part, want.Organisation, l.homes.earliestTenure(), Extra{})
	return l.ownPartLender.Lend(now, l.View.Self().Name, part, want)
}

// mayOverdrawOwnPart reports whether this daemon may lend the least that is wanted beyond
// its own part. Each daemon may do so once, so that only the first ones may do so at all.
func (l *Limiter) mayOverdrawOwnPart(want Want) bool {
	index, _ := l.homes.position(l.View)
	return l.MaxOwnPartOverdraft <= 0 || (index+1)*want.LeastTokens <= l.MaxOwnPartOverdraft
}

// borrowFrom asks a home, which may be this daemon, for loans. If patient, it waits longer
// for a home that may only be slow.
func (l *Limiter) borrowFrom(ctx context.Context, home gossiper.Member, wants []Want, patient bool) (loans []Loan, err error) {
	self := l.View.Self().Name
	if home.Name == self {
		return l.Lend(ctx, self, wants)
	}
	now := l.Clock.Now()
	l.mu.Lock()
	quiet, silent := l.silences[home.Name]
	l.mu.Unlock()
	timeout := borrowTimeout
	switch {
	case patient && (!silent || now-quiet.since < patientBorrowTimeout):
		timeout = patientBorrowTimeout
	case now < quiet.pausedUntil:
		return nil, errUnreachable
	}
	// The call outlives the request, because other requests wait for the loan too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout.Duration())
	defer cancel()
	loans, err = l.Borrow(ctx, home, wants)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && len(loans) != len(wants) {
		err = errUnreachable
	}
	if err != nil {
		if quiet, silent = l.silences[home.Name]; !silent {
			quiet.since = now
			klog.InfoS("home of limits does not answer", "home", home.Name, "err", err, "waited_ms", l.Clock.Now()-now)
		}
		quiet.pausedUntil = l.Clock.Now() + unreachablePause
		l.silences[home.Name] = quiet
		return nil, err
	}
	if quiet, silent = l.silences[home.Name]; silent {
		klog.InfoS("home of limits answers again", "home", home.Name, "silent_ms", l.Clock.Now()-quiet.since)
		delete(l.silences, home.Name)
	}
	return loans, nil
}

// Lend answers the wants of a daemon as the home of their organisations. The
// loans are in the order of the wants. It returns an error while this daemon does not
// know the fleet.
func (l *Limiter) Lend(ctx context.Context, daemon string, wants []Want) (loans []Loan, err error) {
	l.prepare()
	if l.Settled != nil && !l.Settled() {
		return nil, errUnsettled
	}
	if l.homes.isResumed(l.View.Self()) {
		l.reviewAccounts(l.Clock.Now())
	}
	l.homes.trackMembers(l.Clock.Now(), l.View)
	share := l.homes.lendableShare(l.View)
	members := l.View.Members()
	self := l.View.Self().Name
	l.mu.Lock()
	if daemon != self {
		l.lastAskedAt, l.isolated = l.Clock.Now(), false
	}
	l.mu.Unlock()
	for _, want := range wants {
		loans = append(loans, l.lendOne(ctx, daemon, want, share, members))
	}
	return loans, nil
}

// lendOne answers one want, or names the home of the organisation if that is another
// daemon.
func (l *Limiter) lendOne(ctx context.Context, daemon string, want Want, share float64, members []gossiper.Member) (loan Loan) {
	self := l.View.Self().Name
	organisation, _ := inventory.Lookup(l.Source.Current().Organisations, want.Organisation)
	terms := TermsOf(organisation).Scaled(share)
	home := l.homeOf(want.Organisation, members)
	// A home that leaves opens no account: it would take the limits back from the next one.
	if home == self && l.View.Self().State != gossiper.Leaving || home == "" {
		home = l.openAccount(ctx, want.Organisation, terms, members)
	}
	if home != "" && home != self {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.homeLender.Drain(l.Clock.Now(), want.Organisation)
		return Loan{Home: home}
	}
	now := l.Clock.Now()
	newHome := l.homes.isNewHome(now, want.Organisation, self, members)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isolated {
		index, count := l.homes.position(l.View)
		terms = terms.Part(index, count).ReducedForPartition()
	}
	if newHome {
		terms.Concurrency = min(terms.Concurrency, terms.Part(0, max(len(members), 1)).Concurrency)
	}
	return l.homeLender.Lend(now, daemon, terms, want)
}

// refund restores what an admitted request used that got no slot or did not run.
func (l *Limiter) refund(req *classifier.Request, firstAttempt bool) {
	requests := 0
	if firstAttempt {
		requests = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Refund(req.Organisation, requests, chargedTokens(req))
}

func (l *Limiter) release(organisation string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Release(organisation, tokens)
}

// Tick renews and returns loans, with one call for each home, and drops idle
// organisations. Run calls it.
func (l *Limiter) Tick(ctx context.Context) {
	l.prepare()
	now := l.Clock.Now()
	l.homes.trackMembers(now, l.View)
	l.reviewAccounts(now)
	l.mu.Lock()
	l.homeLender.ForgetIdle(now)
	l.ownPartLender.ForgetIdle(now)
	due := l.borrower.DueWants(now)
	maps.DeleteFunc(l.silences, func(_ string, s silence) bool { return now-s.pausedUntil > slotLifetime })
	l.metrics.organisations.Set(float64(l.borrower.Len() + l.homeLender.Len()))
	checkIsolation := l.homeLender.Len() > 0 && now-l.lastAskedAt > unaskedTimeout
	l.mu.Unlock()
	if checkIsolation {
		l.probeReachability(ctx)
	}
	if l.Settled != nil && !l.Settled() {
		return
	}
	byHome := map[string][]Want{}
	homes := map[string]gossiper.Member{}
	for _, want := range due {
		home := l.home(want.Organisation)
		homes[home.Name] = home
		byHome[home.Name] = append(byHome[home.Name], want)
	}
	for name, wants := range byHome {
		l.renew(ctx, now, homes[name], wants)
	}
}

func (l *Limiter) renew(ctx context.Context, now clock.Millis, home gossiper.Member, wants []Want) {
	loans, err := l.borrowFrom(ctx, home, wants, false)
	for i, want := range wants {
		var loan Loan
		if err == nil && loans[i].Home == "" {
			loan = loans[i]
		} else {
			organisation, _ := inventory.Lookup(l.Source.Current().Organisations, want.Organisation)
			loan = l.lendOwnPart(now, TermsOf(organisation), want)
		}
		l.mu.Lock()
		l.borrower.Renew(now, want.Organisation, loan)
		l.mu.Unlock()
	}
}

// limitedSlot is a slot whose request counts as in progress until End.
type limitedSlot struct {
	reserver.Slot
	limiter      *Limiter
	request      *classifier.Request
	firstAttempt bool
	// outputPrepaid means that the output tokens were charged on admission.
	outputPrepaid bool
	once          sync.Once
}

// Terms returns the terms on which the upstream was chosen.
func (s *limitedSlot) Terms() reserver.Terms { return reserver.TermsOf(s.Slot) }

// End implements reserver.Slot.
func (s *limitedSlot) End(usage reserver.Usage) {
	s.Slot.End(usage)
	tokens := usage.OutputTokens
	if s.outputPrepaid {
		tokens = 0
	}
	s.once.Do(func() {
		if usage.NotRun {
			s.limiter.refund(s.request, s.firstAttempt)
			return
		}
		s.limiter.release(s.request.Organisation, tokens)
	})
}
