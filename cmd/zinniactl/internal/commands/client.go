package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"zinniatide.example/zinniatide"
)

const (
	// attemptTimeout bounds one request, so that a control VM that is cut off
	// does not use up the time for the others.
	attemptTimeout = 3 * time.Second
	// firstDelay and lastDelay bound the exponential delay between attempts.
	firstDelay = 50 * time.Millisecond
	lastDelay  = time.Second
	// maxAnswer bounds the memory that an answer may take.
	maxAnswer = 64 << 20
)

// finalCodes are refusals that another attempt or another control VM would
// repeat.
var finalCodes = map[zinniatide.Code]bool{
	zinniatide.CodeBadRequest: true, zinniatide.CodeTooLarge: true, zinniatide.CodeSuperseded: true,
	zinniatide.CodeTicketConflict: true, zinniatide.CodeNotFound: true, zinniatide.CodeMethodNotSupported: true,
}

// refusal is the body of a refused request.
type refusal struct {
	Code    zinniatide.Code    `json:"code"`
	Outcome zinniatide.Outcome `json:"outcome"`
	Message string             `json:"message"`
}

// client sends requests to the control VMs until one answers. All requests may
// be repeated: the same ticket has the same effect however often it arrives.
type client struct {
	env       *environment
	addresses []string
	http      *http.Client
	next      int
	deadline  zinniatide.Millis
}

func (e *environment) client() (*client, error) {
	addresses, err := e.addresses()
	if err != nil {
		return nil, err
	}
	deadline := e.clock.Now() + zinniatide.Millis(e.timeout.Milliseconds())
	return &client{env: e, addresses: addresses, http: &http.Client{}, deadline: deadline}, nil
}

func (c *client) left() time.Duration { return (c.deadline - c.env.clock.Now()).Duration() }

// do decodes the answer into out. Its errors are exitErrors.
func (c *client) do(method, path string, body []byte, out any) error {
	delay := firstDelay
	for {
		address := c.addresses[c.next%len(c.addresses)]
		err := c.attempt(method, "http://"+address+path, body, out)
		var refused *zinniatide.Refusal
		if err == nil {
			return nil
		}
		if errors.As(err, &refused) && finalCodes[refused.Code] {
			return &exitError{exitRefused, refused}
		}
		c.next++
		if c.left() <= delay {
			return &exitError{exitNoAnswer, fmt.Errorf("gave up after %v; last answer, from %s: %w", c.env.timeout, address, err)}
		}
		// Half of the delay is random, so that operators who lost the same
		// control VM do not return at the same moment.
		c.env.sleep(delay/2 + time.Duration(c.env.random.Int64N(int64(delay/2))))
		delay = min(2*delay, lastDelay)
	}
}

func (c *client) attempt(method, url string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(attemptTimeout, max(c.left(), firstDelay)))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return err
	}
	if answer.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("unreadable answer: %w", err)
		}
		return nil
	}
	var r refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Code == "" {
		return fmt.Errorf("HTTP status %s without a refusal", answer.Status)
	}
	return &zinniatide.Refusal{Code: r.Code, Outcome: r.Outcome, Message: r.Message}
}
