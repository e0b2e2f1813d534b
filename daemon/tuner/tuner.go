// Package tuner sets the socket options that end connections which have gone
// silent: something between two VMs may forget a connection without telling
// either end, and a TCP connection waits for minutes by default.
package tuner

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"yuccaspread/common/clock"
)

// Spans after which a silent connection ends.
const (
	// UserTimeout bounds the time that sent bytes may stay unacknowledged.
	UserTimeout = 5 * clock.Second
	// KeepAliveIdle, KeepAliveInterval and KeepAliveCount prove a connection
	// on which nothing is sent.
	KeepAliveIdle     = 3 * clock.Second
	KeepAliveInterval = 1 * clock.Second
	KeepAliveCount    = 3
	// DialTimeout bounds the opening of a connection.
	DialTimeout = 1 * clock.Second
)

// KeepAlive is the setting for net.Dialer and net.ListenConfig.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: KeepAliveIdle.Duration(), Interval: KeepAliveInterval.Duration(), Count: KeepAliveCount,
	}
}

// Control sets the TCP user timeout; it fits net.Dialer and net.ListenConfig,
// whose accepted connections inherit it.
func Control(_, _ string, conn syscall.RawConn) (err error) {
	var inner error
	err = conn.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout))
	})
	if err != nil {
		return err
	}
	return inner
}

// Dialer returns a dialer with all of it set.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: DialTimeout.Duration(), KeepAliveConfig: KeepAlive(), Control: Control}
}

// ListenConfig returns a listener's configuration with all of it set.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: Control}
}
