package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepEndsWithItsSpanOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		if !Sleep(t.Context(), 300*Millisecond) || time.Since(begin) != 300*time.Millisecond {
			t.Errorf("slept %s", time.Since(begin))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin = time.Now()
		if Sleep(ctx, Minute) || time.Since(begin) != time.Second {
			t.Errorf("slept %s", time.Since(begin))
		}
	})
}
