package raftlog

import (
	"testing"

	"go.etcd.io/raft/v3"
)

// Silent is a raft.Logger, and the messages of its fatal calls can be recovered.
func TestSilentPanicsWithTheMessage(t *testing.T) {
	var log raft.Logger = Silent{}
	for name, call := range map[string]func(){
		"Fatal":  func() { log.Fatal("entry ", 7) },
		"Fatalf": func() { log.Fatalf("entry %d", 7) },
		"Panic":  func() { log.Panic("entry ", 7) },
		"Panicf": func() { log.Panicf("entry %d", 7) },
	} {
		func() {
			defer func() {
				if message := recover(); message != "entry 7" {
					t.Errorf("%s panics with %v, want \"entry 7\"", name, message)
				}
			}()
			call()
		}()
	}
}
