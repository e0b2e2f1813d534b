// Package prover holds the tests that run daemons and stand-ins as processes
// on loopback, break them in the ways that the daemons are made for, and count
// how often each key ran, which refusals were false and which answers were not
// whole.
package prover
