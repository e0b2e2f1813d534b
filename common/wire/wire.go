// Package wire defines the messages and services through which yuccaspread's
// processes call each other over drpc. The other Go files of this folder are
// generated from the .proto files by "make generate" and committed.
package wire
