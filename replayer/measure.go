package main

import (
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"yuccaspread/replayer/checker"
	"yuccaspread/replayer/generator"
	"yuccaspread/replayer/runner"
	"yuccaspread/replayer/selector"
)

// parallelSeeds is the greatest number of seeds that are replayed at once.
const parallelSeeds = 4

// seedResult holds the results of all policies at one seed and the missed
// outcomes.
type seedResult struct {
	results []runner.Result
	misses  []checker.Miss
	err     error
}

// measure prints the means over all seeds, and each missed outcome to standard
// error. It returns an error if any outcome was missed.
func (a arguments) measure() error {
	names := generator.Names()
	if a.scenario != "" {
		names = []string{a.scenario}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "scenario\tpolicy\ton_time\ttier 0\ttier 1\tprompt\tread\twasted_prefill\texposed_prefill\tinversions\tworst first_token_p95\tworst gap_p95\t")
	missed := 0
	for _, name := range names {
		seedResults := a.measureSeeds(name)
		for i, policy := range selector.NamesFor(name) {
			printMean(table, name, policy, seedResults, i)
		}
		for seed, s := range seedResults {
			if s.err != nil {
				return s.err
			}
			for _, m := range s.misses {
				missed++
				fmt.Fprintf(os.Stderr, "missed: %s seed %d: %s: %s\n", name, seed+1, m.Kind, m.Detail)
			}
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if missed > 0 {
		return fmt.Errorf("%d expected outcomes missed", missed)
	}
	return nil
}

func (a arguments) measureSeeds(name string) []seedResult {
	seedResults := make([]seedResult, max(a.seeds, 1))
	var group sync.WaitGroup
	semaphore := make(chan struct{}, parallelSeeds)
	for i := range seedResults {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			seedResults[i] = measureSeed(name, uint64(i)+1)
		})
	}
	group.Wait()
	return seedResults
}

func measureSeed(name string, seed uint64) (s seedResult) {
	trace, err := generator.Generate(name, seed)
	if err != nil {
		s.err = err
		return s
	}
	for _, policy := range selector.NamesFor(name) {
		result, err := runner.Run(trace, policy)
		if err != nil {
			s.err = err
			return s
		}
		s.results = append(s.results, result)
	}
	s.misses = checker.Check(name, s.results)
	return s
}

func printMean(table *tabwriter.Writer, name, policy string, seedResults []seedResult, policyIndex int) {
	var onTime, prompt, read, wasted, exposed, inversions, worstFirstToken, worstTokenGap float64
	var tiers [2]float64
	for _, s := range seedResults {
		if s.err != nil {
			return
		}
		r := s.results[policyIndex]
		onTime += float64(r.OnTime()) / float64(len(seedResults))
		prompt += float64(r.FirstTokenOnTime()) / float64(len(seedResults))
		read += float64(r.ReadTokens) / float64(len(seedResults))
		wasted += float64(r.WastedPrefillTokens) / float64(len(seedResults))
		exposed += float64(r.ExposedPrefillTokens) / float64(len(seedResults))
		inversions += float64(r.TierInversions)
		worstFirstToken = max(worstFirstToken, r.FirstTokenP95MS)
		worstTokenGap = max(worstTokenGap, r.TokenGapP95MS)
		for rank := range min(len(tiers), len(r.Tiers)) {
			tiers[rank] += float64(r.Tiers[rank].OnTime) / float64(len(seedResults))
		}
	}
	_, _ = fmt.Fprintf(table, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", name, policy, onTime, tiers[0], tiers[1],
		prompt, read, wasted, exposed, inversions, worstFirstToken, worstTokenGap)
}
