package sender

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// TestResetDialDoesNotHideACrash guards against a crash that is attributed to no request, as the process that
// ends resets the connection that asks whether it is gone.
func TestResetDialDoesNotHideACrash(t *testing.T) {
	type dial func() (net.Conn, error)
	failing := func(errno syscall.Errno) dial {
		return func() (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
	}
	refused, reset, unreachable := failing(syscall.ECONNREFUSED), failing(syscall.ECONNRESET), failing(syscall.EHOSTUNREACH)
	open := func() (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	}
	closed := func() (net.Conn, error) {
		near, far := net.Pipe()
		return near, far.Close()
	}
	for name, tc := range map[string]struct {
		dials []dial
		gone  bool
	}{
		"refused":               {[]dial{refused}, true},
		"reset, then refused":   {[]dial{reset, refused}, true},
		"closed, then refused":  {[]dial{closed, refused}, true},
		"closed, reset, gone":   {[]dial{closed, reset, refused}, true},
		"open":                  {[]dial{open}, false},
		"reset, then open":      {[]dial{reset, open}, false},
		"unreachable":           {[]dial{unreachable}, false},
		"closes all":            {[]dial{closed, closed, closed}, false},
		"resets all":            {[]dial{reset, reset, reset}, false},
		"closed, not reachable": {[]dial{closed, unreachable}, false},
	} {
		t.Run(name, func(t *testing.T) {
			next := 0
			gone := isGone(func() (net.Conn, error) {
				next++
				return tc.dials[next-1]()
			})
			if gone != tc.gone || next != len(tc.dials) {
				t.Errorf("gone %t after %d dials, want %t after %d", gone, next, tc.gone, len(tc.dials))
			}
		})
	}
}
