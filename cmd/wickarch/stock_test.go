package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/redis/go-redis/v9"

	"wickarch/internal/standin"
)

// A stock client of the protocol is served unchanged, one by one and in
// pipelines. It begins with commands of its own that are answered with errors.
func TestStockClientIsServed(t *testing.T) {
	s := start(t, limits, "")
	c := redis.NewClient(&redis.Options{Addr: s.Addr, Protocol: 2, DisableIdentity: true, PoolSize: 4, MaxRetries: -1,
		ReadTimeout: patience, DialTimeout: patience})
	t.Cleanup(func() { _ = c.Close() })
	words := func(w []string) (args []any) {
		for _, x := range w {
			args = append(args, x)
		}
		return args
	}
	judge := func(id string, got *redis.Cmd) {
		t.Helper()
		v, err := got.Text()
		if busy := err != nil && strings.HasPrefix(err.Error(), "BUSY"); v != id && !busy {
			t.Errorf("%s is answered %q, %v", id, v, err)
		}
	}
	for n := range 100 {
		id := standin.NewID()
		w := standin.Lookup(1, id, int(deadline.Milliseconds()))
		if n%2 == 0 {
			w = standin.Payment(1, id, int(deadline.Milliseconds()))
		}
		judge(id, c.Do(t.Context(), words(w)...))
	}
	for range 20 {
		pipe := c.Pipeline()
		var ids []string
		var got []*redis.Cmd
		for n := range 16 {
			ids = append(ids, standin.NewID())
			w := standin.Lookup(uint64(1+n), ids[n], int(deadline.Milliseconds()))
			got = append(got, pipe.Do(t.Context(), words(w)...))
		}
		if _, err := pipe.Exec(t.Context()); err != nil && !strings.HasPrefix(err.Error(), "BUSY") {
			t.Fatal(err)
		}
		for n, id := range ids {
			judge(id, got[n])
		}
	}
	if v, err := c.Ping(t.Context()).Result(); v != "PONG" || err != nil {
		t.Errorf("a ping is answered %q, %v", v, err)
	}
	s.once()
	if s.effects.Total() < 100 {
		t.Error(fmt.Sprint("of 420 requests ", s.effects.Total(), " have run"))
	}
}
