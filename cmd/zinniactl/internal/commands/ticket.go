package commands

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
)

// readTicket reads and validates a ticket file, or standard input when path is
// "-". It also returns the raw bytes and the digest of the ticket.
func (e *environment) readTicket(path string) ([]byte, *zinniatide.Ticket, checker.Digest, error) {
	raw, err := e.readFile(path)
	if err != nil {
		return nil, nil, checker.Digest{}, fmt.Errorf("read ticket: %w", err)
	}
	ticketChecker, err := checker.New()
	if err != nil {
		return nil, nil, checker.Digest{}, err
	}
	ticket, digest, err := ticketChecker.Decode(raw)
	return raw, ticket, digest, err
}

func (e *environment) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(e.in, checker.MaxTicketSize+1))
	}
	return os.ReadFile(path)
}

func parseTicketNumber(text string) (zinniatide.TicketNumber, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("ticket number %q is not a positive integer", text)
	}
	return zinniatide.TicketNumber(n), nil
}
