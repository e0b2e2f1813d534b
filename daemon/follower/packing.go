package follower

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"yuccaspread/common/wire"
)

const (
	// minPackedBytes is the size from which a value is deflated for peers.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds what the value of a peer may unpack to.
	maxUnpackedBytes = 64 << 20
)

// packedValue is the deflated value of a row.
type packedValue struct {
	version Version
	value   []byte
}

// packer deflates the values of rows, each version of a row once. A configuration with many routes
// shrinks to a tenth: several peers fetch it at once, over links on which it would take longer than
// a fetch may. The zero value is ready to use; it is not safe for concurrent use.
type packer struct {
	// values holds the newest deflated value of each large row.
	values map[rowID]packedValue
}

// pack returns the deflated value of a row, nil for a small one.
func (p *packer) pack(row Row) []byte {
	if len(row.Value) < minPackedBytes {
		return nil
	}
	id := rowID{row.Table, row.Key}
	if known, found := p.values[id]; found && known.version == row.Version {
		return known.value
	}
	var packed bytes.Buffer
	// A writer to memory fails only for an invalid level.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write(row.Value)
	_ = w.Close()
	if p.values == nil {
		p.values = map[rowID]packedValue{}
	}
	p.values[id] = packedValue{row.Version, packed.Bytes()}
	return packed.Bytes()
}

// errTooLarge means that a value unpacks to more than maxUnpackedBytes.
var errTooLarge = errors.New("value is too large")

func unpack(packed []byte) (value []byte, err error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }()
	value, err = io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err == nil && len(value) > maxUnpackedBytes {
		err = errTooLarge
	}
	return value, err
}

// toWire returns a row as it is sent to a peer, packed if the peer accepts that.
func (p *packer) toWire(row Row, acceptsPacked bool) *wire.FollowedRow {
	out := &wire.FollowedRow{Table: row.Table, Key: row.Key, Version: int64(row.Version), Gone: row.Removed}
	if acceptsPacked {
		out.Packed = p.pack(row)
	}
	if out.Packed == nil {
		out.Value = row.Value
	}
	return out
}

// fromWire returns a row of a peer.
func fromWire(in *wire.FollowedRow) (row Row, err error) {
	row = Row{Table: in.GetTable(), Key: in.GetKey(), Value: in.GetValue(), Version: Version(in.GetVersion()), Removed: in.GetGone()}
	if len(in.GetPacked()) > 0 {
		row.Value, err = unpack(in.GetPacked())
	}
	return row, err
}
