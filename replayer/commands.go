package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"yuccaspread/daemon/recorder"
	"yuccaspread/replayer/generator"
	"yuccaspread/replayer/parser"
	"yuccaspread/replayer/reporter"
	"yuccaspread/replayer/runner"
	"yuccaspread/replayer/selector"
)

func (a arguments) generate() (err error) {
	trace, err := generator.Generate(a.scenario, a.seed)
	if err != nil {
		return err
	}
	if a.out == "" {
		return parser.Write(os.Stdout, trace)
	}
	file, err := os.Create(a.out)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return parser.Write(file, trace)
}

func (a arguments) replay() error {
	trace, err := readTrace(a.file)
	if errors.Is(err, parser.ErrNotTrace) {
		return a.replayRecord()
	}
	if err != nil {
		return err
	}
	result, err := runner.Run(trace, a.policy)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(result)
	}
	return reporter.WriteTable(os.Stdout, []runner.Result{result})
}

// replayRecord replays a flight record and prints the result, always as JSON.
func (a arguments) replayRecord() (err error) {
	file, err := os.Open(a.file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	records, err := recorder.Read(file)
	if err != nil {
		return err
	}
	results, err := runner.RunRecord(records)
	if err != nil {
		return err
	}
	return printJSON(struct {
		Shards []runner.RecordResult `json:"shards"`
	}{results})
}

func (a arguments) compare() error {
	results, err := compareAll(a.file)
	if err != nil {
		return err
	}
	if !a.json {
		return reporter.WriteTable(os.Stdout, results)
	}
	return printJSON(struct {
		Policies []runner.Result `json:"policies"`
	}{results})
}

func (a arguments) report() error {
	if a.out == "" {
		return errors.New("report: --out must name a directory")
	}
	results, err := compareAll(a.file)
	if err != nil {
		return err
	}
	return reporter.WritePlots(a.out, results)
}

func compareAll(path string) (results []runner.Result, err error) {
	trace, err := readTrace(path)
	if err != nil {
		return nil, err
	}
	for _, policy := range selector.NamesFor(trace.Header.Scenario) {
		result, err := runner.Run(trace, policy)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func readTrace(path string) (trace parser.Trace, err error) {
	file, err := os.Open(path)
	if err != nil {
		return trace, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return parser.Read(file)
}

func printJSON(value any) error {
	if err := json.NewEncoder(os.Stdout).Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
