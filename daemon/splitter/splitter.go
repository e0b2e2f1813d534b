// Package splitter finds where server-sent events end.
package splitter

import "bytes"

// EventEnd returns the length of the first event of a stream, with the blank line that ends it,
// or -1 if no event ends in it. Lines end with a line feed, or with a carriage return and a line
// feed.
func EventEnd(stream []byte) int {
	for at := 0; ; {
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
