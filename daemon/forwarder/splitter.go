package forwarder

import (
	"strings"

	"yuccaspread/daemon/splitter"
)

// eventSplitter splits a byte stream into server-sent events. The zero value is
// ready to use.
type eventSplitter struct {
	splitter.Splitter
	// lastID is the last id that a whole event named, empty before one.
	lastID string
	// events counts the whole events.
	events int
}

// feed adds the next piece of the stream and returns the events that are complete now.
func (s *eventSplitter) feed(piece []byte) (out []byte) {
	s.Append(piece)
	for event, found := s.Next(); found; event, found = s.Next() {
		s.events++
		s.recordID(string(event))
		out = append(out, event...)
	}
	return out
}

// recordID sets lastID if the event has an id.
func (s *eventSplitter) recordID(event string) {
	for line := range strings.SplitSeq(event, "\n") {
		if id, found := strings.CutPrefix(line, "id:"); found {
			s.lastID = strings.TrimSpace(id)
		}
	}
}
