package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// longAnswers: clients send many lookups at once on a connection, and read all the time. Their
// answers are long. A lookup that a backend has run was read by the ingress, so the end of the
// connection with no answer to it did not cross it unread.
func longAnswers(e *env) error {
	const commands = 40
	size := 64 << 10
	if !e.trouble {
		size = 100
	}
	s := athlone(3)
	s.quota, s.burst = 500, 500
	work := cores(87 * time.Millisecond)
	var ran sync.Map // by id
	d, err := e.deploy(s, 10, func(r *request) {
		ran.Store(r.id(), true)
		e.log("RUN %s at %s", r.id(), r.backend.name)
		work(r)
		_, _ = r.conn.Write(served(r.id() + strings.Repeat("x", size-16)))
	})
	if err != nil {
		return err
	}
	total, lost := 0, 0
	for round := range 30 {
		c, err := d.pools[round%3].dial()
		if err != nil {
			return fmt.Errorf("%w: %w", errNoRun, err)
		}
		var all []byte
		var tries []try
		for range commands {
			t := d.newTry("lookup")
			all = append(all, encode(t.words()...)...)
			tries = append(tries, t)
		}
		begin := time.Now()
		_ = c.SetDeadline(begin.Add(time.Duration(tries[0].ms)*time.Millisecond + 550*time.Millisecond))
		if _, err := c.Write(all); err != nil {
			return fmt.Errorf("%w: %w", errNoRun, err)
		}
		e.log("SENT %d lookups at once to n%d, %s to %s", commands, round%3, tries[0].id, tries[commands-1].id)
		for i, t := range tries {
			kind, value, err := c.answer()
			if err == nil {
				e.log("ANSWER %s: %s, %d bytes", t.id, kind, len(value))
				total++
				continue
			}
			unanswered := 0
			for _, rest := range tries[i+1:] { // the first of them may have a part of its value
				if _, any := ran.Load(rest.id); any {
					unanswered++
				}
			}
			lost += unanswered
			if unanswered > 0 {
				e.breaks("round %d, n%d: after %d answers %v, %d ms after the requests; %d more requests that backends ran have no answer",
					round, round%3, i, err, time.Since(begin).Milliseconds(), unanswered)
			}
			break
		}
		_ = c.Close()
		time.Sleep(300 * time.Millisecond)
	}
	fmt.Printf("%d answers; %d requests that ran have none\n", total, lost)
	return nil
}
