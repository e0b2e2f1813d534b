package follower

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"yuccaspread/common/wire"
)

const (
	// minPackedBytes is the size from which a value is deflated for peers.
	minPackedBytes = 4 << 10
	// minPackedRows is the number of rows of a reply from which they are deflated together.
	minPackedRows = 8
	// maxUnpackedBytes bounds what the value, or the rows, of a peer may unpack to.
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
	deflater deflater
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
	packed := p.deflater.deflate(row.Value)
	if p.values == nil {
		p.values = map[rowID]packedValue{}
	}
	p.values[id] = packedValue{row.Version, packed}
	return packed
}

// deflater deflates data. It keeps its writers, each of which allocates over half a megabyte. The
// zero value is ready to use, and safe for concurrent use.
type deflater struct {
	// writers holds *flate.Writer.
	writers sync.Pool
}

func (d *deflater) deflate(data []byte) []byte {
	w, found := d.writers.Get().(*flate.Writer)
	if !found {
		// A writer to memory fails only for an invalid level.
		w, _ = flate.NewWriter(nil, flate.BestSpeed)
	}
	defer d.writers.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	_, _ = w.Write(data)
	_ = w.Close()
	return packed.Bytes()
}

// errTooLarge means that something unpacks to more than maxUnpackedBytes.
var errTooLarge = errors.New("too large")

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

// packRows deflates the rows of a reply together, if there are many. The rows of upstreams resemble
// each other, and each daemon gets some of each upstream's renewals: in a large fleet they are
// most of what daemons send to each other.
func (d *deflater) packRows(reply *wire.SyncReply) (err error) {
	if len(reply.GetRows()) < minPackedRows {
		return nil
	}
	data, err := proto.Marshal(&wire.FollowedRows{Rows: reply.GetRows()})
	if err != nil {
		return err
	}
	reply.Rows, reply.PackedRows = nil, d.deflate(data)
	return nil
}

// unpackRows adds the packed rows of a reply to the others.
func unpackRows(reply *wire.SyncReply) (err error) {
	if len(reply.GetPackedRows()) == 0 {
		return nil
	}
	data, err := unpack(reply.GetPackedRows())
	if err != nil {
		return err
	}
	var packed wire.FollowedRows
	if err = proto.Unmarshal(data, &packed); err != nil {
		return err
	}
	reply.Rows, reply.PackedRows = append(reply.GetRows(), packed.GetRows()...), nil
	return nil
}
