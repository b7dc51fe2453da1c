// Package pacer spaces the starts of requests to a server that is not warm yet.
package pacer

import "zinniatide.example/zinniatide"

const (
	// Window is the length over which the bound on starts holds.
	Window zinniatide.Millis = 1000
	// microsPerStart is the spacing in microseconds at a bound of one start per
	// second: starts are paced at 90% of the bound, so that jitter on the way
	// to the server cannot bunch them beyond it.
	microsPerStart = 10_000_000 / 9
	// slack, in microseconds, is how early a start may be made. It is the
	// dispatcher's tick: without it each start would wait for the tick after it
	// is due, which halves a rate of 99 per second.
	slack = 10_000
)

// Pacer bounds the starts in any Window to a rate R. With a spacing of
// Window/(0.9*R) a window holds at most ceil((Window+slack)*0.9*R/Window)
// starts, which is ceil(0.909*R) and never above R.
//
// The zero value is unbounded. A Pacer is not safe for concurrent use.
type Pacer struct {
	rate uint32
	// next is the time, in microseconds, at which the next start is due.
	next int64
	// hold forbids starts before it.
	hold zinniatide.Millis
}

// Rate returns the bound in starts per second, 0 when there is none.
func (p *Pacer) Rate() uint32 { return p.rate }

// SetRate replaces the bound; 0 removes it. A lower bound than before, or the
// first one, takes effect with a pause of one Window, so that no window counts
// starts that were made under the higher bound.
func (p *Pacer) SetRate(now zinniatide.Millis, rate uint32) {
	if rate != 0 && (p.rate == 0 || rate < p.rate) {
		p.Hold(now + Window)
	}
	p.rate = rate
}

// Begin sets the bound of a server that nobody has sent to since since.
func (p *Pacer) Begin(since zinniatide.Millis, rate uint32) {
	p.rate = rate
	if rate != 0 {
		p.Hold(since + Window)
	}
}

// Hold forbids starts before until.
func (p *Pacer) Hold(until zinniatide.Millis) { p.hold = max(p.hold, until) }

// Take reports whether a request may start now, and counts it if so.
func (p *Pacer) Take(now zinniatide.Millis) bool {
	if p.rate == 0 {
		return true
	}
	if p.Wait(now) > 0 {
		return false
	}
	p.next = max(p.next, int64(now)*1000) + p.interval()
	return true
}

// Wait returns how long it takes until the next request may start.
func (p *Pacer) Wait(now zinniatide.Millis) zinniatide.Millis {
	if p.rate == 0 {
		return 0
	}
	due := p.next - slack
	return max(p.hold-now, zinniatide.Millis((due+999)/1000)-now, 0)
}

// WaitFor returns how long it takes until the request at a position of the
// queue may start, counted from 0.
func (p *Pacer) WaitFor(now zinniatide.Millis, position int) zinniatide.Millis {
	if p.rate == 0 {
		return 0
	}
	return p.Wait(now) + zinniatide.Millis(int64(position)*p.interval()/1000)
}

// interval rounds up, so that the pace is never above 90%.
func (p *Pacer) interval() int64 {
	return (microsPerStart + int64(p.rate)) / int64(p.rate)
}
