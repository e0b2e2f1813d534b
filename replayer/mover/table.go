package mover

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/elector"
	"yuccaspread/daemon/stager"
)

// table is a model of the platform's table that holds the lease and the rows of
// moves.
type table struct {
	version int64
	lease   elector.Lease
	rows    map[string]stager.Row
	// writes counts all writes, rowWrites those of move rows.
	writes    int
	rowWrites int
	epochs    map[int64]bool
}

// execute executes a call of an elector and returns the reply. down is set during
// an outage, lost if the call is executed and its reply is lost.
func (t *table) execute(effect elector.Effect, now clock.Millis, down, lost bool) elector.Message {
	switch e := effect.(type) {
	case elector.Read:
		return elector.ReadDone{At: now, Failed: down || lost, Version: t.version, Lease: t.lease}
	case elector.Write:
		if down {
			return elector.WriteDone{At: now, Unknown: true}
		}
		applied := e.Version == t.version
		if applied {
			t.writes++
			t.version++
			t.lease = e.Lease
			t.epochs[e.Lease.Epoch] = true
		}
		if lost {
			return elector.WriteDone{At: now, Unknown: true}
		}
		return elector.WriteDone{At: now, Applied: applied, Version: t.version}
	}
	return nil
}

// putRow writes a row if the lease has the version, and reports whether it did.
func (t *table) putRow(row stager.Row, leaseVersion int64) bool {
	if leaseVersion != t.version {
		return false
	}
	t.writes++
	t.rowWrites++
	t.rows[row.Move] = row
	return true
}
