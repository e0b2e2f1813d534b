package claimer

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/gossiper"
)

const (
	// sweepPage is the number of rows of one scan and one delete.
	sweepPage = 128
	// sweepPause is the pause between two pages.
	sweepPause = 200 * clock.Millisecond
	// sweepsPerRetention is the number of sweeps within the retention time. It
	// is low so that each scanned page has many rows to delete.
	sweepsPerRetention = 4
)

// Sweeper deletes the claim rows and stored answers whose retention time is
// over. One daemon sweeps each organisation. Its exported fields are set before
// Run.
type Sweeper struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Clock   clock.Clock
	Source  inventory.Source
	View    gossiper.View
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for {
		retention := s.Source.Current().Limits.WithDefaults().KeyRetentionMS
		if !clock.Sleep(ctx, retention/sweepsPerRetention) {
			return
		}
		for _, organisation := range s.Source.Current().Organisations {
			if !s.isAssigned(organisation.Name) {
				continue
			}
			if err := s.Sweep(ctx, organisation.Name); err != nil {
				klog.ErrorS(err, "claim sweep failed; expired claims are kept until the next sweep", "organisation", organisation.Name)
			}
		}
	}
}

// isAssigned reports whether this daemon sweeps an organisation: hashes choose
// a region for the organisation and a daemon in that region. While members
// disagree, two daemons may sweep the same organisation, which is harmless.
func (s *Sweeper) isAssigned(organisation string) bool {
	self := s.View.Self()
	regions := s.Source.Current().Regions
	hash := xxhash.Sum64String(organisation)
	if len(regions) > 0 && regions[hash%uint64(len(regions))].Name != self.Region {
		return false
	}
	owner, highestScore := "", uint64(0)
	for _, m := range s.View.Members() {
		score := xxhash.Sum64String(m.Name + "/" + organisation)
		if m.Region == self.Region && m.State == gossiper.Alive && (owner == "" || score > highestScore) {
			owner, highestScore = m.Name, score
		}
	}
	return owner == self.Name
}

// Sweep scans the rows of an organisation once and deletes the expired ones.
func (s *Sweeper) Sweep(ctx context.Context, organisation string) (err error) {
	prefix := RowKey(organisation, "")
	start := prefix
	for {
		rows, err := s.Table.Scan(ctx, prefix, start, sweepPage)
		if err != nil {
			return err
		}
		if err = s.deleteExpired(ctx, rows); err != nil {
			return err
		}
		if len(rows) < sweepPage {
			return nil
		}
		start = rows[len(rows)-1].Key + "\x00"
		if !clock.Sleep(ctx, sweepPause) {
			return ctx.Err()
		}
	}
}

// deleteExpired deletes the rows whose retention time is over, after the
// objects that they name.
func (s *Sweeper) deleteExpired(ctx context.Context, rows []platform.Row) (err error) {
	cutoff := s.Clock.Now() - s.Source.Current().Limits.WithDefaults().KeyRetentionMS
	var txn platform.Txn
	for _, row := range rows {
		record, err := decode(row.Value)
		if err != nil || record.Time >= cutoff {
			continue
		}
		if record.Answer != nil && record.Answer.Object != "" {
			if err = s.Objects.Delete(ctx, record.Answer.Object); err != nil {
				return err
			}
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	// If a row of the page has changed meanwhile, the transaction is not applied
	// and the next sweep deletes the rows.
	_, err = s.Table.Apply(ctx, txn)
	return err
}
