// Package timewheel is a hierarchical timing wheel: the cost of an operation on a
// timer does not depend on the number of timers.
//
// Source: G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels",
// SOSP 1987, scheme 7. Each level has 64 slots, and each slot of one level spans
// all of the level below. A timer is on the level of the highest base-64 digit in
// which its tick differs from the current one. So all timers of a level are due
// before any on the level above, and a bitmap per level finds the next slot. A
// timer moves down at most once per level.
//
// A wheel reads no clock and runs no goroutine: the owner advances it.
package timewheel

import (
	"math/bits"
	"time"
)

const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 7 // 2^42 ticks, over a hundred years of milliseconds
	maxTicks = 1<<(slotBits*levels) - 1
)

// Timer is one deadline, to be embedded in the object that it belongs to. The zero
// Timer is ready for Set. Owner is for the caller; the wheel does not use it.
type Timer[T any] struct {
	Owner T

	prev, next *Timer[T]
	in         *list[T] // nil when not set
	tick       uint64
	level      uint8
	slot       uint8
}

// Set reports whether the timer is scheduled.
func (t *Timer[T]) Set() bool { return t.in != nil }

type list[T any] struct{ first *Timer[T] }

// Wheel holds timers. Use New. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick     time.Duration
	now      uint64         // the last tick reached
	occupied [levels]uint64 // bitmaps of the slots that hold timers
	slots    [levels][slots]list[T]
	expired  list[T] // set for a tick that has been reached already
	firing   list[T] // those of expired that the current Advance still has to fire
}

// New returns a wheel whose timers fire at whole multiples of a tick, its
// resolution. The owner's clock starts at 0.
func New[T any](tick time.Duration) *Wheel[T] { return &Wheel[T]{tick: tick} }

// Set schedules a timer for the first tick at or after at, in place of an earlier
// schedule. It never fires early, and late by less than one tick plus the delay
// until Advance is called.
func (w *Wheel[T]) Set(t *Timer[T], at time.Duration) {
	w.Stop(t)
	t.tick = min(uint64(max(0, at)+w.tick-1)/uint64(w.tick), maxTicks)
	w.insert(t)
}

func (w *Wheel[T]) insert(t *Timer[T]) {
	l := &w.expired
	t.level = levels // not in a slot
	if t.tick > w.now {
		level := (bits.Len64(w.now^t.tick) - 1) / slotBits
		slot := t.tick >> (level * slotBits) & (slots - 1)
		t.level, t.slot = uint8(level), uint8(slot)
		w.occupied[level] |= 1 << slot
		l = &w.slots[level][slot]
	}
	t.in, t.prev, t.next = l, nil, l.first
	if l.first != nil {
		l.first.prev = t
	}
	l.first = t
}

// Stop cancels a timer. It does nothing if the timer is not set.
func (w *Wheel[T]) Stop(t *Timer[T]) {
	if t.in == nil {
		return
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		t.in.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if t.level < levels && t.in.first == nil {
		w.occupied[t.level] &^= 1 << t.slot
	}
	t.in, t.prev, t.next = nil, nil, nil
}

// Next returns the time of the next Advance that has work; no timer fires before
// it. It may be earlier than the first timer, which has to move down first if it is
// on a higher level. ok is false if no timer is set.
func (w *Wheel[T]) Next() (at time.Duration, ok bool) {
	if w.expired.first != nil {
		return time.Duration(w.now) * w.tick, true
	}
	tick, _, _, ok := w.nextSlot()
	return time.Duration(tick) * w.tick, ok
}

// nextSlot returns the first slot that holds timers, and the tick at which it begins.
func (w *Wheel[T]) nextSlot() (tick uint64, level, slot int, ok bool) {
	for level, occupied := range w.occupied {
		if occupied == 0 {
			continue
		}
		slot := bits.TrailingZeros64(occupied)
		shift := level * slotBits
		base := w.now >> (shift + slotBits) << (shift + slotBits)
		return base | uint64(slot)<<shift, level, slot, true
	}
	return 0, 0, 0, false
}

// Advance fires all timers that are due at now, in the order of their ticks. A
// timer is no longer set when it fires. fire may set and stop any timer; one that
// it sets for a time already reached fires in the next Advance.
func (w *Wheel[T]) Advance(now time.Duration, fire func(*Timer[T])) {
	target := max(w.now, uint64(max(0, now)/w.tick))
	// Timers set for the past fire first. They are moved to a list of their own, so
	// that a timer that sets itself for the past again does not loop for ever.
	for t := w.expired.first; t != nil; t = t.next {
		t.in = &w.firing
	}
	w.firing, w.expired.first = w.expired, nil
	w.fireAll(&w.firing, fire)
	for {
		tick, level, slot, ok := w.nextSlot()
		if !ok || tick > target {
			w.now = target
			return
		}
		w.now = tick
		l := &w.slots[level][slot]
		if level > 0 {
			for l.first != nil {
				t := l.first
				w.Stop(t)
				if t.tick > w.now {
					w.insert(t)
				} else {
					fire(t)
				}
			}
			continue
		}
		w.fireAll(l, fire)
	}
}

// fireAll fires the timers of a list until it is empty.
func (w *Wheel[T]) fireAll(l *list[T], fire func(*Timer[T])) {
	for l.first != nil {
		t := l.first
		w.Stop(t)
		fire(t)
	}
}
