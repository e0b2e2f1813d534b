package main

import (
	"errors"
	"os"

	"yuccaspread/replayer/extrapolator"
)

// capacity fills the tables of the capacity page from benchmark results.
func (a arguments) capacity() (err error) {
	plan, err := extrapolator.LoadPlan(a.plan)
	if err != nil {
		return err
	}
	file, err := os.Open(a.file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	measurements, err := extrapolator.Read(file)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(a.out)
	if err != nil {
		return err
	}
	filled, err := extrapolator.Fill(string(page), plan, measurements)
	if err != nil {
		return err
	}
	info, err := os.Stat(a.out)
	if err != nil {
		return err
	}
	return os.WriteFile(a.out, []byte(filled), info.Mode().Perm())
}
