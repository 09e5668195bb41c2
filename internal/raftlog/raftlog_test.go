package raftlog

import (
	"testing"

	"go.etcd.io/raft/v3"
)

// The library takes it, and its fatal lines can be recovered.
func TestSilentPanicsWithTheLine(t *testing.T) {
	var log raft.Logger = Silent{}
	for name, call := range map[string]func(){
		"Fatal":  func() { log.Fatal("entry ", 7) },
		"Fatalf": func() { log.Fatalf("entry %d", 7) },
		"Panic":  func() { log.Panic("entry ", 7) },
		"Panicf": func() { log.Panicf("entry %d", 7) },
	} {
		func() {
			defer func() {
				if told := recover(); told != "entry 7" {
					t.Errorf("%s panics with %v", name, told)
				}
			}()
			call()
		}()
	}
}
