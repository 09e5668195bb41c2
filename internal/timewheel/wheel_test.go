package timewheel

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares the wheel with a map of deadlines: each timer fires once, at its tick and
// in order, and Next is never later than the first timer.
func TestTimersFireAtTheirTicks(t *testing.T) {
	const tick = time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		w := New[int](tick)
		now := time.Duration(0)
		timers := make([]Timer[int], 12)
		due := map[int]time.Duration{} // the model: when each timer should fire
		spans := rapid.SampledFrom([]time.Duration{0, 1, tick, 10 * tick, 64 * tick, 65 * tick, 5000 * tick, 300_000 * tick, 90 * time.Hour})
		set := func(t *rapid.T, i int) {
			at := now + spans.Draw(t, "for") + time.Duration(rapid.Int64Range(0, int64(3*tick)).Draw(t, "and"))
			w.Set(&timers[i], at)
			due[i] = at
		}
		for i := range timers {
			timers[i].Owner = i
		}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) { set(t, rapid.IntRange(0, 11).Draw(t, "timer")) },
			"stop": func(t *rapid.T) {
				i := rapid.IntRange(0, 11).Draw(t, "timer")
				w.Stop(&timers[i])
				delete(due, i)
			},
			"advance": func(t *rapid.T) {
				before := now
				now += spans.Draw(t, "by")
				again := rapid.IntRange(-1, 11).Draw(t, "set again")
				last := time.Duration(0)
				w.Advance(now, func(tm *Timer[int]) {
					at, ok := due[tm.Owner]
					if !ok || at > now {
						t.Fatalf("timer %d fires at %v, want %v (set: %v)", tm.Owner, now, at, ok)
					}
					if tm.Set() {
						t.Fatal("a timer is still set while it fires")
					}
					if ticks := (at + tick - 1) / tick; at > before && ticks < (last+tick-1)/tick {
						t.Fatalf("a timer for %v fires after one for %v", at, last)
					}
					last = max(last, at)
					delete(due, tm.Owner)
					if tm.Owner == again {
						set(t, again)
					}
				})
				for i, at := range due {
					if i != again && at <= now-tick {
						t.Fatalf("timer %d, due at %v, has not fired at %v", i, at, now)
					}
				}
			},
			"": func(t *rapid.T) {
				at, found := w.Next()
				if found != (len(due) > 0) {
					t.Fatalf("Next returns %v, %v with %d timers set", at, found, len(due))
				}
				for i, want := range due {
					if timers[i].Set() == false {
						t.Fatalf("timer %d is not set", i)
					}
					if want > now && at >= want+tick {
						t.Fatalf("Next returns %v, but timer %d is due at %v", at, i, want)
					}
				}
			},
		})
	})
}

// Guards against an endless loop in Advance when a timer sets itself for a past time.
func TestTimerSetForThePastFiresInNextAdvance(t *testing.T) {
	w := New[int](time.Millisecond)
	var tm Timer[int]
	w.Set(&tm, 0)
	fired := 0
	for range 3 {
		w.Advance(time.Second, func(tm *Timer[int]) {
			fired++
			w.Set(tm, 0)
		})
	}
	if fired != 3 {
		t.Errorf("fired %d times in 3 calls of Advance, want 3", fired)
	}
}

// A timer that is stopped by another one firing in the same tick does not fire.
func TestStopInSameTick(t *testing.T) {
	w := New[int](time.Millisecond)
	timers := [2]Timer[int]{}
	fired := 0
	for _, at := range []time.Duration{0, 5 * time.Millisecond, time.Second} {
		for i := range timers {
			w.Set(&timers[i], at)
		}
		w.Advance(2*time.Second, func(t *Timer[int]) {
			fired++
			for i := range timers {
				w.Stop(&timers[i])
			}
		})
	}
	if fired != 3 {
		t.Errorf("%d timers fired, want 3, one of each pair", fired)
	}
}

func BenchmarkSet(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := New[int](time.Millisecond)
			timers := make([]Timer[int], n)
			now := time.Duration(0)
			for i := range timers {
				w.Set(&timers[i], time.Duration(i%5000)*time.Millisecond)
			}
			for i := 0; b.Loop(); i++ {
				w.Set(&timers[i%n], now+5*time.Second)
				if i%64 == 0 {
					now += 100 * time.Microsecond
					w.Advance(now, func(t *Timer[int]) { w.Set(t, now+5*time.Second) })
				}
			}
		})
	}
}
