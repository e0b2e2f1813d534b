package clock

import "golang.org/x/sys/unix"

// BootTime returns the time since the machine started, including what it was suspended for,
// which Clock doesn't count; 0 if the machine has no such clock.
func BootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return Millis(t.Nano() / int64(1_000_000))
}
