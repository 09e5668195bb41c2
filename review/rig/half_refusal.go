package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// halfRefusal: half a line stands in front of some answers of backends, and these come in two pieces.
func halfRefusal(e *env) error {
	const part = 0.05 // of the answers
	s := athlone(3)
	s.quota, s.burst = 100, 100
	work := cores(87 * time.Millisecond)
	var runs sync.Map // by id
	var payments, twice atomic.Int32
	d, err := e.deploy(s, 10, func(r *request) {
		n, _ := runs.LoadOrStore(r.id(), new(atomic.Int32))
		count := n.(*atomic.Int32).Add(1)
		e.log("RUN %s at %s, time %d", r.id(), r.backend.name, count)
		if strings.Contains(r.words[3], "c=payment") {
			if count == 1 {
				payments.Add(1)
			} else {
				twice.Add(1)
				e.breaks("payment %s ran %d times, now at %s", r.id(), count, r.backend.name)
			}
		}
		work(r)
		answer := served(r.id())
		if e.trouble && rand.Float64() < part {
			e.log("HALF a line in front of the answer to %s", r.id())
			_, _ = r.conn.Write(append([]byte("-BUSY used=3 "), answer[:4]...)) // and the array's first line
			time.Sleep(5 * time.Millisecond)
			answer = answer[4:]
		}
		_, _ = r.conn.Write(answer)
	})
	if err != nil {
		return err
	}
	d.ask(100, 20*time.Second, 0.44, func() int { return rand.IntN(3) }, false, func(try, int, result) {})
	d.finish()
	fmt.Printf("%d payments ran, %d of them once more\n", payments.Load(), twice.Load())
	return nil
}
