// Package allocator assigns TCP ports of the loopback interface to the programs that tests
// and the demo start.
package allocator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// firstPort is the lowest port that is assigned.
	firstPort = 10000
	// defaultEphemeralPort is the first of the ports that Linux gives to outgoing
	// connections and to listeners that ask for any port, unless it is set otherwise.
	defaultEphemeralPort = 32768
	// minPorts is the number of ports from which one is chosen at least.
	minPorts = 1000
	// claimAddress is where assigned ports are held, so that other processes pass over
	// them.
	claimAddress = "127.0.0.2"
	// maxTries bounds the ports that are tried for one that is free.
	maxTries = 1000
)

// Allocator assigns ports on which nobody listens. No other Allocator, in any process, assigns
// one of them before Close. They are no ephemeral ports: those may be taken by an outgoing
// connection before the program listens, or between its end and its restart. The zero value is
// ready to use.
type Allocator struct {
	mu     sync.Mutex
	claims []net.Listener
}

// Port assigns a port.
func (a *Allocator) Port() (port int, err error) {
	end := ephemeralStart()
	for range maxTries {
		port = firstPort + rand.IntN(end-firstPort)
		var claim net.Listener
		if claim, err = claimPort(port); err == nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.claims = append(a.claims, claim)
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free; the last one tried: %w", err)
}

// Addresses assigns the given number of ports and returns their loopback addresses.
func (a *Allocator) Addresses(count int) (addresses []string, err error) {
	for range count {
		port, err := a.Port()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, loopbackAddress("127.0.0.1", port))
	}
	return addresses, nil
}

// Close gives the ports back.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, claim := range a.claims {
		_ = claim.Close()
	}
	a.claims = nil
}

// claimPort returns an error if the port is claimed or in use. Closing the claim ends it.
func claimPort(port int) (claim net.Listener, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("claim port %d: %w", port, err)
		}
	}()
	var config net.ListenConfig
	claim, err = config.Listen(context.Background(), "tcp", loopbackAddress(claimAddress, port))
	if err != nil {
		return nil, err
	}
	// A listening socket here could be inherited by a program that is just being started, and
	// keep the port in use.
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", loopbackAddress("127.0.0.1", port))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return claim, nil
	case err == nil:
		err = errors.Join(errInUse, conn.Close())
	}
	return nil, errors.Join(err, claim.Close())
}

// probeTimeout bounds the check whether somebody listens on a port.
const probeTimeout = time.Second

var errInUse = errors.New("somebody listens on the port")

func loopbackAddress(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// ephemeralStart returns the first ephemeral port, or the default if it is not known or
// leaves too few ports.
func ephemeralStart() (port int) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultEphemeralPort
	}
	if _, err = fmt.Sscan(string(text), &port); err != nil || port < firstPort+minPorts {
		return defaultEphemeralPort
	}
	return port
}
