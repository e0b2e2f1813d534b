package limiter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
)

const (
	tickInterval = 1 * clock.Second
	// borrowTimeout bounds one call to a home.
	borrowTimeout = 300 * clock.Millisecond
	// unreachablePause is how long a home that did not answer is left alone.
	unreachablePause = 1 * clock.Second
)

// Limiter is a Reserver that admits requests within the limits of their
// organisation and passes them on. Its exported fields are set before use.
type Limiter struct {
	Next   reserver.Reserver
	Source inventory.Source
	View   gossiper.View
	Clock  clock.Clock
	// Borrow asks another daemon for loans, in the order of the wants.
	Borrow func(ctx context.Context, home gossiper.Member, wants []Want) ([]Loan, error)
	// Registerer takes the metrics; nil keeps them to itself.
	Registerer prometheus.Registerer

	once    sync.Once
	metrics *metrics
	homes   homes

	mu       sync.Mutex
	borrower Borrower
	// lender lends to all daemons, alone to this one while a home does not
	// answer.
	lender Lender
	alone  Lender
	// asking holds a channel for each organisation for which a question is
	// under way; it is closed with the answer.
	asking map[string]chan struct{}
	// unreachable tells until when a home is left alone.
	unreachable map[string]clock.Millis
	// asked is when another daemon last asked here, and apart tells that hardly
	// any could be reached when none did.
	asked clock.Millis
	apart bool
}

func (l *Limiter) prepare() {
	l.once.Do(func() {
		l.metrics = newMetrics(l.Registerer)
		l.asking = map[string]chan struct{}{}
		l.unreachable = map[string]clock.Millis{}
		l.homes = homes{started: l.Clock.Now(), regions: map[string]bool{}, gone: map[string]departed{}, known: map[string]sighting{}}
	})
}

// Run renews and gives back what was borrowed, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.prepare()
	ticker := time.NewTicker(tickInterval.Duration())
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
	fresh := len(excluded) == 0
	if err = l.admit(ctx, req, terms, fresh); err != nil {
		return nil, err
	}
	slot, err = l.Next.Reserve(ctx, req, excluded)
	if err != nil {
		l.refund(req, fresh)
		return nil, err
	}
	return &limitedSlot{Slot: slot, limiter: l, organisation: req.Organisation, advance: organisation.TokensInAdvance}, nil
}

// charge returns the tokens that a request counts when it is admitted.
func charge(req *classifier.Request) int { return max(req.ChargedTokens, req.PromptTokens) }

// admit counts the request or refuses it. It ends, since a loan that falls
// short leads to a refusal, and one that does not lets some request pass.
func (l *Limiter) admit(ctx context.Context, req *classifier.Request, terms Terms, fresh bool) (err error) {
	for ctx.Err() == nil {
		verdict, retry, pending := l.try(req, terms, fresh)
		switch {
		case verdict == Admitted:
			return nil
		case verdict == Refused:
			return l.refuse(req.Organisation, max(retry, 1))
		case pending == nil:
			l.ask(ctx, req, terms)
		default:
			l.await(ctx, req.Organisation, pending)
		}
	}
	return ctx.Err()
}

// try returns with a Short verdict the channel that is closed with the answer
// to a question under way; for nil the caller is to ask.
func (l *Limiter) try(req *classifier.Request, terms Terms, fresh bool) (verdict Verdict, retry clock.Millis, pending chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, retry = l.borrower.Admit(l.Clock.Now(), req.Organisation, terms, charge(req), fresh)
	pending = l.asking[req.Organisation]
	if verdict == Short && pending == nil {
		l.asking[req.Organisation] = make(chan struct{})
	}
	return verdict, retry, pending
}

// await waits for the answer to another request's question.
func (l *Limiter) await(ctx context.Context, organisation string, pending chan struct{}) {
	l.wait(organisation, 1)
	defer l.wait(organisation, -1)
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

func (l *Limiter) wait(organisation string, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Wait(organisation, change)
}

func (l *Limiter) refuse(organisation string, retry clock.Millis) error {
	l.metrics.refusals.Inc()
	refusal := refuser.New(http.StatusTooManyRequests, "organisation limit", "organisation "+organisation+" has used up its limits")
	refusal.RetryAfter = retry
	return refusal
}

// ask borrows for one request; others of the organisation wait meanwhile.
func (l *Limiter) ask(ctx context.Context, req *classifier.Request, terms Terms) {
	now := l.Clock.Now()
	l.mu.Lock()
	want := l.borrower.Want(now, req.Organisation, charge(req))
	l.mu.Unlock()
	loan := l.loan(ctx, now, terms, want)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Take(now, req.Organisation, loan)
	close(l.asking[req.Organisation])
	delete(l.asking, req.Organisation)
}

// loan gets a loan from the home, or from this daemon's own part while the
// home does not answer.
func (l *Limiter) loan(ctx context.Context, now clock.Millis, terms Terms, want Want) (loan Loan) {
	home := l.home(want.Organisation)
	loans, err := l.borrow(ctx, now, home, []Want{want})
	if err == nil {
		return loans[0]
	}
	return l.ownPart(now, terms, want)
}

// ownPart lends of one part in as many as there are daemons.
func (l *Limiter) ownPart(now clock.Millis, terms Terms, want Want) Loan {
	l.metrics.alone.Inc()
	index, count := l.homes.place(l.View)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alone.Lend(now, l.View.Self().Name, terms.Part(index, count).Careful(), want, false)
}

// borrow asks a home, which may be this daemon.
func (l *Limiter) borrow(ctx context.Context, now clock.Millis, home gossiper.Member, wants []Want) (loans []Loan, err error) {
	self := l.View.Self().Name
	if home.Name == self {
		return l.Lend(self, wants), nil
	}
	l.mu.Lock()
	until := l.unreachable[home.Name]
	l.mu.Unlock()
	if now < until {
		return nil, errUnreachable
	}
	// The question outlives its caller, since others wait for the answer too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout.Duration())
	defer cancel()
	loans, err = l.Borrow(ctx, home, wants)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && len(loans) != len(wants) {
		err = errUnreachable
	}
	if err != nil {
		l.unreachable[home.Name] = l.Clock.Now() + unreachablePause
		return nil, err
	}
	delete(l.unreachable, home.Name)
	return loans, nil
}

// Lend answers the wants of a daemon as the home of their organisations.
func (l *Limiter) Lend(daemon string, wants []Want) (loans []Loan) {
	l.prepare()
	now := l.Clock.Now()
	config := l.Source.Current()
	share := l.homes.share(l.View)
	members := l.View.Members()
	self := l.View.Self().Name
	l.mu.Lock()
	if daemon != self {
		l.asked, l.apart = now, false
	}
	apart := l.apart
	l.mu.Unlock()
	for _, want := range wants {
		organisation, _ := inventory.Lookup(config.Organisations, want.Organisation)
		terms := TermsOf(organisation).Scaled(share)
		if apart {
			index, count := l.homes.place(l.View)
			terms = terms.Part(index, count).Careful()
		}
		fresh := l.homes.isNew(now, want.Organisation, self, members)
		if fresh {
			terms.Concurrency = min(terms.Concurrency, terms.Part(0, max(len(members), 1)).Concurrency)
		}
		l.mu.Lock()
		loans = append(loans, l.lender.Lend(now, daemon, terms, want, fresh))
		l.mu.Unlock()
	}
	return loans
}

// refund gives back what a request was admitted with that got no slot.
func (l *Limiter) refund(req *classifier.Request, fresh bool) {
	requests := 0
	if fresh {
		requests = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Refund(req.Organisation, requests, charge(req))
}

func (l *Limiter) release(organisation string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Release(organisation, tokens)
}

// Tick renews and gives back, one call for each home. Run calls it.
func (l *Limiter) Tick(ctx context.Context) {
	l.prepare()
	now := l.Clock.Now()
	l.homes.follow(now, l.View)
	l.mu.Lock()
	l.lender.Forget(now)
	l.alone.Forget(now)
	due := l.borrower.Due(now)
	for name, until := range l.unreachable {
		if now >= until {
			delete(l.unreachable, name)
		}
	}
	l.metrics.organisations.Set(float64(l.borrower.Len() + l.lender.Len()))
	doubtful := l.lender.Len() > 0 && now-l.asked > unaskedTime
	l.mu.Unlock()
	if doubtful {
		l.look(ctx)
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
	loans, err := l.borrow(ctx, now, home, wants)
	for i, want := range wants {
		var loan Loan
		if err == nil {
			loan = loans[i]
		} else {
			organisation, _ := inventory.Lookup(l.Source.Current().Organisations, want.Organisation)
			loan = l.ownPart(now, TermsOf(organisation), want)
		}
		l.mu.Lock()
		l.borrower.Renew(now, want.Organisation, loan)
		l.mu.Unlock()
	}
}

// limitedSlot counts a request as in progress until its end.
type limitedSlot struct {
	reserver.Slot
	limiter      *Limiter
	organisation string
	// advance tells that the output was counted when the request was admitted.
	advance bool
	once    sync.Once
}

// End implements reserver.Slot.
func (s *limitedSlot) End(usage reserver.Usage) {
	s.Slot.End(usage)
	tokens := usage.OutputTokens
	if s.advance {
		tokens = 0
	}
	s.once.Do(func() { s.limiter.release(s.organisation, tokens) })
}
