package judge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/judge"
)

// behaviour draws one request of a version.
type behaviour func(r *rand.Rand, key judge.Key, window int) judge.Sample

func usualSample(r *rand.Rand, _ judge.Key, _ int) judge.Sample {
	tokens := 5 + int(60*r.ExpFloat64())
	return judge.Sample{Failed: r.Float64() < 0.005, FirstTokenTime: clock.Millis(80 + 300*r.ExpFloat64()), TokenGap: clock.Millis(20 + 10*r.NormFloat64()), Tokens: tokens}
}

// firstBadWindow judges windows of 40 requests, a tenth of them on the new
// version, and returns the number of the first window with a bad verdict, or 0.
func firstBadWindow(seed uint64, windows int, errorRate float64, newVersion behaviour) int {
	r := rand.New(rand.NewPCG(seed, 7))
	j := &judge.Judge{From: "v1", To: "v2", ErrorRate: errorRate}
	for window := 1; window <= windows; window++ {
		w := judge.Window{}
		for range 40 {
			key := judge.Key{Version: "v1", Route: []string{"a", "b", "c"}[r.IntN(3)], Generation: []string{"g4", "g5"}[r.IntN(2)], Load: uint8(r.IntN(4))}
			draw := usualSample
			if r.Float64() < 0.1 {
				key.Version, draw = "v2", newVersion
			}
			w.Of(key).Add(draw(r, key, window))
		}
		if j.Observe(w).Bad {
			return window
		}
	}
	return 0
}

// TestGoodVersionIsSeldomCalledBad guards against a rate of false alarms above
// the stated error rate, as it results from testing after every window.
func TestGoodVersionIsSeldomCalledBad(t *testing.T) {
	// The stated rate is one in a hundred; at that rate, eight false alarms in 200
	// moves have a probability below one in a thousand.
	called := 0
	for seed := range uint64(200) {
		if firstBadWindow(seed, 300, 0.01, usualSample) > 0 {
			called++
		}
	}
	if called > 8 {
		t.Fatalf("%d of 200 good versions were called bad", called)
	}
}

// TestBadVersionsAreCalledBad guards against a kind of regression that the judge
// misses, and against a bad verdict before the regression begins.
func TestBadVersionsAreCalledBad(t *testing.T) {
	const change = 200
	cases := map[string]behaviour{
		"fails at once": func(_ *rand.Rand, _ judge.Key, _ int) judge.Sample { return judge.Sample{Failed: true} },
		"fails a fifth": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.Failed = r.Float64() < 0.2
			return s
		},
		"slow first token": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.FirstTokenTime *= 3
			return s
		},
		"slow tokens": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.TokenGap *= 2
			return s
		},
		"later": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.Failed = s.Failed || w > change
			return s
		},
		"under load": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.Failed = s.Failed || key.Load >= 2 && r.Float64() < 0.5
			return s
		},
		"one route": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.Failed = s.Failed || key.Route == "b"
			return s
		},
		"one generation": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.Failed = s.Failed || key.Generation == "g4"
			return s
		},
		"empty": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.Tokens = 0
			return s
		},
		"cut short": func(r *rand.Rand, key judge.Key, w int) judge.Sample {
			s := usualSample(r, key, w)
			s.Tokens = 1 + r.IntN(3)
			return s
		},
	}
	for name, newVersion := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				at := firstBadWindow(seed, 600, 0.001, newVersion)
				if at == 0 {
					t.Fatalf("seed %d: not called bad in 600 windows", seed)
				}
				if name == "later" && at <= change {
					t.Fatalf("seed %d: called bad in window %d, before the change", seed, at)
				}
			}
		})
	}
}

// TestBadVersionIsFoundWithoutConcurrentOldTraffic guards against a judge that
// can compare the versions only while both have traffic.
func TestBadVersionIsFoundWithoutConcurrentOldTraffic(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	j := &judge.Judge{From: "v1", To: "v2", ErrorRate: 0.001}
	observeWindow := func(version string, failed float64) judge.Verdict {
		w := judge.Window{}
		for range 40 {
			key := judge.Key{Version: version, Route: "a"}
			s := usualSample(r, key, 0)
			s.Failed = r.Float64() < failed
			w.Of(key).Add(s)
		}
		return j.Observe(w)
	}
	for range 50 {
		observeWindow("v1", 0.01)
	}
	for range 100 {
		if v := observeWindow("v2", 0.01); v.Bad {
			t.Fatalf("called bad at the old rate: %+v", v)
		}
	}
	for range 20 {
		observeWindow("v2", 0.3)
	}
	if !j.Verdict().Bad {
		t.Fatalf("not called bad: %+v", j.Verdict())
	}
}

// BenchmarkJudgement judges the requests of one second to 3 models on 5
// generations and 4 routes; the peak is 9,300 requests.
func BenchmarkJudgement(b *testing.B) {
	for _, requests := range []int{3100, 9300, 27900} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) { benchmarkJudgeSecond(b, requests) })
	}
}

func benchmarkJudgeSecond(b *testing.B, requests int) {
	r := rand.New(rand.NewPCG(1, 1))
	windows := make([]judge.Window, 3)
	for range requests {
		at := r.IntN(3)
		if windows[at] == nil {
			windows[at] = judge.Window{}
		}
		key := judge.Key{Version: []string{"v1", "v2"}[r.IntN(2)], Route: []string{"a", "b", "c", "d"}[r.IntN(4)], Generation: []string{"1", "2", "3", "4", "5"}[r.IntN(5)], Load: uint8(r.IntN(4))}
		windows[at].Of(key).Add(usualSample(r, key, 0))
	}
	judges := [3]judge.Judge{}
	for i := range judges {
		judges[i] = judge.Judge{From: "v1", To: "v2", ErrorRate: 0.001}
	}
	for b.Loop() {
		for i := range judges {
			judges[i].Observe(windows[i])
		}
	}
}
