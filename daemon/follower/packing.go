package follower

import (
	"google.golang.org/protobuf/proto"

	"yuccaspread/common/packer"
	"yuccaspread/common/wire"
)

const (
	// minPackedBytes is the size from which a value is packed for peers.
	minPackedBytes = 4 << 10
	// minPackedRows is the number of rows of a reply from which they are packed together.
	minPackedRows = 8
	// maxUnpackedBytes bounds what the value, or the rows, of a peer may unpack to.
	maxUnpackedBytes = 64 << 20
)

// packedValue is the packed value of a row.
type packedValue struct {
	version Version
	value   []byte
}

// rowPacker packs rows for peers, and the value of each version of a large row once. A configuration
// with many routes shrinks to a tenth: several peers fetch it at once, over links on which it would take
// longer than a fetch may. Only packRows is safe for concurrent use.
type rowPacker struct {
	packer *packer.Packer
	// values holds the newest packed value of each large row.
	values map[rowID]packedValue
}

// pack returns the packed value of a row, nil for a small one.
func (p *rowPacker) pack(row Row) []byte {
	if len(row.Value) < minPackedBytes {
		return nil
	}
	id := rowID{row.Table, row.Key}
	if known, found := p.values[id]; found && known.version == row.Version {
		return known.value
	}
	packed := p.packer.Pack(row.Value)
	if p.values == nil {
		p.values = map[rowID]packedValue{}
	}
	p.values[id] = packedValue{row.Version, packed}
	return packed
}

// toWire returns a row as it is sent to a peer, packed if the peer accepts that.
func (p *rowPacker) toWire(row Row, acceptsPacked bool) *wire.FollowedRow {
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
		row.Value, err = packer.Unpack(in.GetPacked(), maxUnpackedBytes)
	}
	return row, err
}

// packRows packs the rows of a reply together, if there are many. The rows of upstreams resemble
// each other, and each daemon gets some of each upstream's renewals: in a large fleet they are
// most of what daemons send to each other.
func (p *rowPacker) packRows(reply *wire.SyncReply) (err error) {
	if len(reply.GetRows()) < minPackedRows {
		return nil
	}
	data, err := proto.Marshal(&wire.FollowedRows{Rows: reply.GetRows()})
	if err != nil {
		return err
	}
	reply.Rows, reply.PackedRows = nil, p.packer.Pack(data)
	return nil
}

// unpackRows adds the packed rows of a reply to the others.
func unpackRows(reply *wire.SyncReply) (err error) {
	if len(reply.GetPackedRows()) == 0 {
		return nil
	}
	data, err := packer.Unpack(reply.GetPackedRows(), maxUnpackedBytes)
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
