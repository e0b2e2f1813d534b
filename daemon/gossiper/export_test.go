package gossiper

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Bytes returns the size of a packet on the wire.
func Bytes(p Packet) int { return proto.Size(encode(p)) }

// Learn makes the gossiper know the given number of other members.
func (g *Gossiper) Learn(members int) {
	p := Packet{Sender: Member{Name: "m-0"}}
	for i := range members - 1 {
		p.Updates = append(p.Updates, Member{Name: fmt.Sprintf("m-%d", i+1)})
	}
	g.handle(Received{Packet: p})
}
