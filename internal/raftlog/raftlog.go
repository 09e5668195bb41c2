// Package raftlog is a logger for the raft library (go.etcd.io/raft).
package raftlog

import "fmt"

// Silent is a raft.Logger that discards the library's log messages. Fatal and Panic panic
// with their message, so that a caller can recover and report it.
type Silent struct{}

// Debug discards the message.
func (Silent) Debug(...any) {}

// Debugf discards the message.
func (Silent) Debugf(string, ...any) {}

// Info discards the message.
func (Silent) Info(...any) {}

// Infof discards the message.
func (Silent) Infof(string, ...any) {}

// Warning discards the message.
func (Silent) Warning(...any) {}

// Warningf discards the message.
func (Silent) Warningf(string, ...any) {}

// Error discards the message.
func (Silent) Error(...any) {}

// Errorf discards the message.
func (Silent) Errorf(string, ...any) {}

// Fatal panics with the message.
func (Silent) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics with the message.
func (Silent) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics with the message.
func (Silent) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics with the message.
func (Silent) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
