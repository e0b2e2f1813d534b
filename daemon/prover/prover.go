// Package prover holds fault injection tests of the daemon. They run daemons and
// stand-ins as processes on loopback, inject the faults that the daemons are
// built to handle, and check how often each idempotency key ran, whether a
// "not_run" outcome was true and whether answers were whole.
package prover
