package checker

import (
	"strings"
	"testing"
)

// Guards against a deeply nested ticket that ends the process, because the stack
// that it takes exceeds the limit of the runtime.
func TestDeepTicketIsRefused(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	for _, unit := range []string{"[", `{"a":`} {
		raw := strings.Repeat(unit, MaxTicketSize/len(unit))
		if _, _, err := c.Decode([]byte(raw)); err == nil {
			t.Errorf("%d times %s: got no error, want a refusal", MaxTicketSize/len(unit), unit)
		}
	}
}
