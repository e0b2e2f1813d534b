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
	// sweepPage is the number of rows of one read and one delete.
	sweepPage = 128
	// sweepPause is the time between two pages.
	sweepPause = 200 * clock.Millisecond
	// sweepsPerRetention is how often a row is looked at while it is kept; few,
	// so that each page that is read holds many rows to delete.
	sweepsPerRetention = 4
)

// Sweeper deletes the rows and stored answers whose retention has ended. Each
// organisation is swept by one daemon. Its exported fields are set before Run.
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
			if !s.mine(organisation.Name) {
				continue
			}
			if err := s.Sweep(ctx, organisation.Name); err != nil {
				klog.ErrorS(err, "claims not swept", "organisation", organisation.Name)
			}
		}
	}
}

// mine tells whether this daemon sweeps an organisation: a region is chosen
// for it, and one daemon there. Two that think so for a moment do no harm.
func (s *Sweeper) mine(organisation string) bool {
	self := s.View.Self()
	regions := s.Source.Current().Regions
	hash := xxhash.Sum64String(organisation)
	if len(regions) > 0 && regions[hash%uint64(len(regions))].Name != self.Region {
		return false
	}
	best, highest := "", uint64(0)
	for _, m := range s.View.Members() {
		score := xxhash.Sum64String(m.Name + "/" + organisation)
		if m.Region == self.Region && m.State == gossiper.Alive && (best == "" || score > highest) {
			best, highest = m.Name, score
		}
	}
	return best == self.Name
}

// Sweep goes once over the rows of an organisation.
func (s *Sweeper) Sweep(ctx context.Context, organisation string) (err error) {
	prefix := RowKey(organisation, "")
	from := prefix
	for {
		rows, err := s.Table.Scan(ctx, prefix, from, sweepPage)
		if err != nil {
			return err
		}
		if err = s.delete(ctx, rows); err != nil {
			return err
		}
		if len(rows) < sweepPage {
			return nil
		}
		from = rows[len(rows)-1].Key + "\x00"
		if !clock.Sleep(ctx, sweepPause) {
			return ctx.Err()
		}
	}
}

// delete removes the old ones of the rows, their objects first.
func (s *Sweeper) delete(ctx context.Context, rows []platform.Row) (err error) {
	oldest := s.Clock.Now() - s.Source.Current().Limits.WithDefaults().KeyRetentionMS
	var txn platform.Txn
	for _, row := range rows {
		record, err := decode(row.Value)
		if err != nil || record.Time >= oldest {
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
	// A row that changed meanwhile keeps all of them until the next sweep.
	_, err = s.Table.Apply(ctx, txn)
	return err
}
