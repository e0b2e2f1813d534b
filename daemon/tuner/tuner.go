// Package tuner sets socket options that close dead TCP connections soon. A device
// between two VMs may drop the state of a connection without a reset to either end,
// and TCP would wait for minutes by default.
package tuner

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"yuccaspread/common/clock"
)

// Times after which a dead connection is closed.
const (
	// UserTimeout is how long sent bytes may stay unacknowledged. On Linux it also decides when
	// keep-alive probes give up, instead of their count: with the first probe that is due once
	// the other end has been silent for that long.
	UserTimeout = 5 * clock.Second
	// KeepAliveIdle and KeepAliveInterval time the keep-alive probes of an idle connection.
	// KeepAliveCount probes end with the UserTimeout.
	KeepAliveIdle     = 3 * clock.Second
	KeepAliveInterval = 1 * clock.Second
	KeepAliveCount    = 2
	// DialTimeout is how long opening a connection may take.
	DialTimeout = 1 * clock.Second
)

// KeepAlive returns the keep-alive configuration for net.Dialer and
// net.ListenConfig.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: KeepAliveIdle.Duration(), Interval: KeepAliveInterval.Duration(), Count: KeepAliveCount,
	}
}

// Control sets the TCP user timeout of a socket. It is the Control function of
// net.Dialer and net.ListenConfig; accepted connections inherit the option.
func Control(_, _ string, conn syscall.RawConn) (err error) {
	var optionErr error
	err = conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Dialer returns a dialer with all these options and the dial timeout.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: DialTimeout.Duration(), KeepAliveConfig: KeepAlive(), Control: Control}
}

// ListenConfig returns a listener configuration with all these options.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: Control}
}
