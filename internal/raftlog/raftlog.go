// Package raftlog is a logger for the raft library (go.etcd.io/raft).
package raftlog

import "fmt"

// Silent is a raft.Logger that drops the library's log lines. Fatal and Panic panic with
// what they were to log, so that a caller can recover and tell it.
type Silent struct{}

// Debug drops a line.
func (Silent) Debug(...any) {}

// Debugf drops a line.
func (Silent) Debugf(string, ...any) {}

// Info drops a line.
func (Silent) Info(...any) {}

// Infof drops a line.
func (Silent) Infof(string, ...any) {}

// Warning drops a line.
func (Silent) Warning(...any) {}

// Warningf drops a line.
func (Silent) Warningf(string, ...any) {}

// Error drops a line.
func (Silent) Error(...any) {}

// Errorf drops a line.
func (Silent) Errorf(string, ...any) {}

// Fatal panics.
func (Silent) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (Silent) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (Silent) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (Silent) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
