// Package pacer limits the rate at which requests are started on a server that
// is not warm yet.
package pacer

import "zinniatide.example/zinniatide"

const (
	// Window is the time window in which the rate limit applies.
	Window zinniatide.Millis = 1000
	// baseSpacingMicros is the time between starts at a limit of one start per
	// second. Starts are paced at 90% of the limit, so that network jitter can't
	// make the server see more starts than the limit in one window.
	baseSpacingMicros = 10_000_000 / 9
	// earlyStartMicros is how early a request may start. It equals the
	// dispatcher's TickInterval: otherwise each start would wait for the first
	// tick after it is due, which halves a rate of 99 per second.
	earlyStartMicros = 10_000
)

// Pacer limits the starts in any Window to a rate R. With a spacing of
// Window/(0.9*R) a window has at most ceil((Window+earlyStart)*0.9*R/Window)
// starts, which is ceil(0.909*R) and never above R.
//
// The zero value has no limit. A Pacer is not safe for concurrent use.
type Pacer struct {
	rate uint32
	// nextMicros is the time at which the next start is due.
	nextMicros int64
	// notBefore is the earliest time of the next start.
	notBefore zinniatide.Millis
}

// Rate returns the limit in starts per second, or 0 if there is none.
func (p *Pacer) Rate() uint32 { return p.rate }

// SetRate replaces the limit; 0 removes it. Lowering the limit, or setting one
// where there was none, pauses starts for one Window, so that no window
// contains starts made under the higher limit.
func (p *Pacer) SetRate(now zinniatide.Millis, rate uint32) {
	if rate != 0 && (p.rate == 0 || rate < p.rate) {
		p.HoldUntil(now + Window)
	}
	p.rate = rate
}

// Init sets the initial limit for a server to which no request has been sent
// since idleSince.
func (p *Pacer) Init(idleSince zinniatide.Millis, rate uint32) {
	p.rate = rate
	if rate != 0 {
		p.HoldUntil(idleSince + Window)
	}
}

// HoldUntil prevents starts before until.
func (p *Pacer) HoldUntil(until zinniatide.Millis) { p.notBefore = max(p.notBefore, until) }

// Allow reports whether a request may start now, and counts it if so.
func (p *Pacer) Allow(now zinniatide.Millis) bool {
	if p.rate == 0 {
		return true
	}
	if p.Delay(now) > 0 {
		return false
	}
	p.nextMicros = max(p.nextMicros, int64(now)*1000) + p.spacingMicros()
	return true
}

// Delay returns the time until the next request may start.
func (p *Pacer) Delay(now zinniatide.Millis) zinniatide.Millis {
	if p.rate == 0 {
		return 0
	}
	due := p.nextMicros - earlyStartMicros
	return max(p.notBefore-now, zinniatide.Millis((due+999)/1000)-now, 0)
}

// DelayAt returns the time until the request at the given position of the
// queue may start. The first position is 0.
func (p *Pacer) DelayAt(now zinniatide.Millis, position int) zinniatide.Millis {
	if p.rate == 0 {
		return 0
	}
	return p.Delay(now) + zinniatide.Millis(int64(position)*p.spacingMicros()/1000)
}

// spacingMicros returns the time between starts. It rounds up, so that the pace
// never exceeds 90% of the limit.
func (p *Pacer) spacingMicros() int64 {
	return (baseSpacingMicros + int64(p.rate)) / int64(p.rate)
}
