package forwarder

import (
	"strings"

	"yuccaspread/daemon/splitter"
)

// eventSplitter splits a byte stream into server-sent events. The zero value is
// ready to use.
type eventSplitter struct {
	// lastID is the last id that a whole event named, empty before one.
	lastID string
	// events counts the whole events.
	events int
	// partial holds the bytes of an event that has not ended.
	partial []byte
}

// feed appends piece to the buffered bytes and returns the events that are
// complete now.
func (s *eventSplitter) feed(piece []byte) (out []byte) {
	s.partial = append(s.partial, piece...)
	whole := 0
	for end := splitter.EventEnd(s.partial); end >= 0; end = splitter.EventEnd(s.partial[whole:]) {
		s.events++
		s.recordID(string(s.partial[whole : whole+end]))
		whole += end
	}
	if whole == 0 {
		return nil
	}
	out = s.partial[:whole]
	s.partial = append([]byte(nil), s.partial[whole:]...)
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
