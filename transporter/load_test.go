package transporter

import (
	"strings"
	"testing"
)

// Guards against figures of a server in trouble that decide on its load, and against
// three figures that are read otherwise than before there was a fourth.
func TestParseLoad(t *testing.T) {
	for _, row := range []struct {
		load     string
		queue    int
		workTime float64
		valid    bool
	}{
		{"1,3,2", 3, 0, true},
		{" 1 , 3 , 2 ", 3, 0, true},
		{"x,3,y", 3, 0, true}, // only the second figure is used
		{"1,3,2,100", 3, 100, true},
		{"1, 3, 2, 250.5", 3, 250.5, true},
		{"1,3,2,10", 3, 10, true},
		{"1,3,2,10000", 3, 10_000, true},
		{"1,3,2,", 3, 0, false},
		{"1,3,2,0", 3, 0, false},
		{"1,3,2,-100", 3, 0, false},
		{"1,3,2,+100", 3, 0, false},
		{"1,3,2,10001", 3, 0, false},
		{"1,3,2,9", 3, 0, false},
		{"1,3,2,1e3", 3, 0, false},
		{"1,3,2,0x64", 3, 0, false},
		{"1,3,2,NaN", 3, 0, false},
		{"1,3,2,Inf", 3, 0, false},
		{"1,3,2,1.0.0", 3, 0, false},
		{"1,3,2," + strings.Repeat("9", 3000), 3, 0, false},
		{"1,-3,2,150", -1, 150, false},
		{"1,99999999,2", -1, 0, false},
		{"1,99999999999999999999,2,150", -1, 150, false},
		{"1,3", -1, 0, false},
		{"1,3,2,100,5", -1, 0, false},
		{strings.Repeat(",", 4000), -1, 0, false},
		{"", -1, 0, false},
	} {
		queue, workTime, valid := parseLoad(row.load)
		if queue != row.queue || workTime != row.workTime || valid != row.valid {
			t.Errorf("%.40q: got %d, %v and valid %v, want %d, %v and %v", row.load, queue, workTime, valid, row.queue, row.workTime, row.valid)
		}
	}
}

// Guards against a fourth figure that gets lost, or that makes an answer invalid, on
// the way from the header to the answer.
func TestWorkTimeInAnswers(t *testing.T) {
	for _, row := range []struct {
		load     string
		workTime float64
		invalid  bool
	}{{"1,3,2", 0, false}, {"1,3,2,180", 180, false}, {"1,3,2,-1", 0, true}} {
		b := newBackend(t, func(int) (string, bool) { return strings.Replace(plainAnswer, "1,3,2", row.load, 1), false })
		a := newClient(t, b.listener.Addr().String()).send(5000, nil)
		if a.Result != Answered || a.QueueLength != 3 || a.WorkTime != row.workTime || a.InvalidLoad != row.invalid {
			t.Errorf("%q: got %+v, want an answer with queue 3, work time %v and invalid load %v", row.load, a, row.workTime, row.invalid)
		}
	}
}
