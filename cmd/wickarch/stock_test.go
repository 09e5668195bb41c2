package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/redis/go-redis/v9"

	"wickarch/internal/standin"
)

// Guards against incompatibilities with an unmodified RESP client, for single commands and pipelines. The client
// starts each connection with commands of its own, which the ingress answers with errors.
func TestGoRedisClientIsServed(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	c := redis.NewClient(&redis.Options{Addr: s.Addr, Protocol: 2, DisableIdentity: true, PoolSize: 4, MaxRetries: -1,
		ReadTimeout: waitTimeout, DialTimeout: waitTimeout})
	t.Cleanup(func() { _ = c.Close() })
	toArgs := func(words []string) (args []any) {
		for _, word := range words {
			args = append(args, word)
		}
		return args
	}
	check := func(id string, got *redis.Cmd) {
		t.Helper()
		v, err := got.Text()
		if busy := err != nil && strings.HasPrefix(err.Error(), "BUSY"); v != id && !busy {
			t.Errorf("request %s got the response %q, %v", id, v, err)
		}
	}
	for n := range 100 {
		id := standin.NewID()
		w := standin.Lookup(1, id, int(clientDeadline.Milliseconds()))
		if n%2 == 0 {
			w = standin.Payment(1, id, int(clientDeadline.Milliseconds()))
		}
		check(id, c.Do(t.Context(), toArgs(w)...))
	}
	for range 20 {
		pipe := c.Pipeline()
		var ids []string
		var got []*redis.Cmd
		for n := range 16 {
			ids = append(ids, standin.NewID())
			w := standin.Lookup(uint64(1+n), ids[n], int(clientDeadline.Milliseconds()))
			got = append(got, pipe.Do(t.Context(), toArgs(w)...))
		}
		if _, err := pipe.Exec(t.Context()); err != nil && !strings.HasPrefix(err.Error(), "BUSY") {
			t.Fatal(err)
		}
		for n, id := range ids {
			check(id, got[n])
		}
	}
	if v, err := c.Ping(t.Context()).Result(); v != "PONG" || err != nil {
		t.Errorf("PING got the response %q, %v", v, err)
	}
	s.expectNoPaymentTwice()
	if s.effects.Total() < 100 {
		t.Error(fmt.Sprint("backends ran ", s.effects.Total(), " of 420 requests, want at least 100"))
	}
}
