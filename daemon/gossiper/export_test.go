package gossiper

import "google.golang.org/protobuf/proto"

// Bytes returns the size of a packet on the wire.
func Bytes(p Packet) int { return proto.Size(encode(p)) }
