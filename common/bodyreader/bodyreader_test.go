package bodyreader

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// fakeConnection grants up to limit bytes.
type fakeConnection struct{ held, peak, limit int }

func (*fakeConnection) Begin()    {}
func (*fakeConnection) Run() bool { return true }
func (*fakeConnection) Idle()     {}
func (*fakeConnection) Close()    {}

func (f *fakeConnection) Reserve(n int) bool {
	if f.held+n > f.limit {
		return false
	}
	f.held += n
	f.peak = max(f.peak, f.held)
	return true
}

func (f *fakeConnection) Release(n int) { f.held -= n }

// Guards against bodies that are changed, cut or longer than stated, and against
// reservations that are not given back.
func TestRead(t *testing.T) {
	const plenty = 1 << 30
	for _, row := range []struct {
		name                        string
		sent, length, limit, memory int
		want                        error
	}{
		{"empty", 0, 0, 100, plenty, nil},
		{"empty, unknown length", 0, -1, 100, plenty, nil},
		{"at the limit", 100_000, 100_000, 100_000, plenty, nil},
		{"at the limit, unknown length", 100_000, -1, 100_000, plenty, nil},
		{"above the limit", 10, 100_001, 100_000, plenty, ErrTooLarge},
		{"above the limit, unknown length", 100_001, -1, 100_000, plenty, ErrTooLarge},
		{"limit of 0", 1, -1, 0, plenty, ErrTooLarge},
		{"small without memory", SmallBytes, SmallBytes, 100_000, 0, nil},
		{"large without memory", 50_000, 50_000, 100_000, 20_000, ErrNoMemory},
		{"cut", 10, 20, 100, plenty, io.ErrUnexpectedEOF},
	} {
		body := bytes.Repeat([]byte("0123456789"), row.sent/10+1)[:row.sent]
		connection := &fakeConnection{limit: row.memory}
		r := New(connection)
		got, err := r.Read(iotest.HalfReader(bytes.NewReader(body)), row.length, row.limit)
		if !errors.Is(err, row.want) || err == nil && !bytes.Equal(got, body) {
			t.Errorf("%s: got %d bytes, %v, want %d bytes, %v", row.name, len(got), err, row.sent, row.want)
		}
		r.Release()
		if connection.held != 0 {
			t.Errorf("%s: got %d bytes reserved at the end, want 0", row.name, connection.held)
		}
	}
}

// Guards against memory for a stated length instead of what has arrived.
func TestStatedLengthReservesNoMemory(t *testing.T) {
	connection := &fakeConnection{limit: 1 << 30}
	if _, err := New(connection).Read(bytes.NewReader(make([]byte, 5000)), 1<<20, 1<<20); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
	}
	if got, want := connection.peak, 4*5000; got > want {
		t.Errorf("got %d bytes reserved for 5000 that arrived, want at most %d", got, want)
	}
}
