// Package splitter splits streams into server-sent events.
package splitter

import "bytes"

// Splitter splits a stream that arrives in pieces. The zero value is ready to use. A stream without
// an end of an event costs time in proportion to its length, however small its pieces are.
type Splitter struct {
	// buffer holds what follows the last event, with no event in its first searched bytes.
	buffer   []byte
	searched int
}

// Append adds the next piece of the stream.
func (s *Splitter) Append(piece []byte) { s.buffer = append(s.buffer, piece...) }

// Next returns the next whole event, with the blank line that ends it. It is valid until the next
// Append.
func (s *Splitter) Next() (event []byte, found bool) {
	end := eventEnd(s.buffer, s.searched)
	if end < 0 {
		s.searched = max(len(s.buffer)-maxEndBytes+1, 0)
		return nil, false
	}
	event, s.buffer, s.searched = s.buffer[:end], s.buffer[end:], 0
	return event, true
}

// Rest returns what there is of the event that has not ended.
func (s *Splitter) Rest() []byte { return s.buffer }

// maxEndBytes is the length of the longest end of an event: a line feed and an empty line.
const maxEndBytes = len("\n\r\n")

// eventEnd returns the length of the first event of a stream, with the blank line that ends it,
// or -1 if no event ends in it. No end begins before from. Lines end with a line feed, or with
// a carriage return and a line feed.
func eventEnd(stream []byte, from int) int {
	for at := from; ; {
		next := bytes.IndexByte(stream[at:], '\n')
		if next < 0 {
			return -1
		}
		at += next + 1
		switch rest := stream[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + len("\r\n")
		}
	}
}
