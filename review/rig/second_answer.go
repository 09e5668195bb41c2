package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// secondAnswer: after a quiet time some answers of backends are followed by a second one some
// milliseconds later. again returns it.
func secondAnswer(e *env, again func(*request) []byte) error {
	const (
		spell = 18 * time.Second // a quiet time and a time of spoilt answers
		quiet = 16 * time.Second
		part  = 0.3 // of the answers are spoilt then
	)
	s := athlone(2)
	s.quota, s.burst = 1000, 1000
	work := cores(10 * time.Millisecond)
	var spoilt atomic.Bool
	var runs sync.Map // by id
	d, err := e.deploy(s, 2, func(r *request) {
		n, _ := runs.LoadOrStore(r.id(), new(atomic.Int32))
		count := n.(*atomic.Int32).Add(1)
		e.log("RUN %s at %s", r.id(), r.backend.name)
		if count > 1 && strings.Contains(r.words[3], "c=payment") {
			e.breaks("payment %s ran %d times", r.id(), count)
		}
		work(r)
		_, _ = r.conn.Write(value(r))
		if spoilt.Load() && rand.Float64() < part {
			time.Sleep(time.Duration(3+rand.IntN(15)) * time.Millisecond)
			e.log("SECOND answer to %s", r.id())
			_, _ = r.conn.Write(again(r))
		}
	})
	if err != nil {
		return err
	}
	d.ask(300, 100*time.Second, 0.44, func() int { return rand.IntN(2) }, false, func(t try, _ int, r result) {
		if r.kind == "served" && !strings.HasPrefix(r.value, t.id) {
			e.breaks("%s %s was answered with %q", t.class, t.id, r.value)
		}
	})
	for begin := time.Now(); time.Since(begin) < 100*time.Second; time.Sleep(10 * time.Millisecond) {
		spoilt.Store(e.trouble && time.Since(begin)%spell > quiet)
	}
	spoilt.Store(false)
	d.finish()
	return nil
}

// value answers a request with what is so at this moment.
func value(r *request) []byte {
	return served(fmt.Sprintf("%s as of %s", r.id(), time.Now().Format("15:04:05.000000")))
}

// secondValue: the request is answered once more, with what is so by then.
func secondValue(e *env) error { return secondAnswer(e, value) }

// secondRefusal: the second answer says that the request is over.
func secondRefusal(e *env) error {
	return secondAnswer(e, func(*request) []byte { return []byte("-BUSY\r\n") })
}
