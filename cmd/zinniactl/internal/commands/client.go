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
	// attemptTimeout limits a single request, so that an unreachable control VM
	// leaves time to try the others.
	attemptTimeout = 3 * time.Second
	// minAttemptTimeout lets the last attempt still be made when the deadline is
	// near.
	minAttemptTimeout = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff between attempts.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// maxResponseBytes limits the memory that a response can take.
	maxResponseBytes = 64 << 20
)

// permanentCodes are the refusals that are not retried, because any control VM
// would refuse the request again.
var permanentCodes = map[zinniatide.Code]bool{
	zinniatide.CodeBadRequest: true, zinniatide.CodeTooLarge: true, zinniatide.CodeSuperseded: true,
	zinniatide.CodeTicketConflict: true, zinniatide.CodeNotFound: true, zinniatide.CodeMethodNotSupported: true,
}

// refusalBody is the response body of a refused request.
type refusalBody struct {
	Code    zinniatide.Code    `json:"code"`
	Outcome zinniatide.Outcome `json:"outcome"`
	Message string             `json:"message"`
}

// client sends requests to the control VMs in turn until one responds. It
// retries all requests, because they are idempotent: a ticket takes effect once,
// however often it is sent.
type client struct {
	env          *environment
	addresses    []string
	httpClient   *http.Client
	addressIndex int
	deadline     zinniatide.Millis
}

func (e *environment) client() (*client, error) {
	addresses, err := e.addresses()
	if err != nil {
		return nil, err
	}
	deadline := e.clock.Now() + zinniatide.Millis(e.timeout.Milliseconds())
	return &client{env: e, addresses: addresses, httpClient: &http.Client{}, deadline: deadline}, nil
}

// remaining returns the time until the deadline of the command.
func (c *client) remaining() time.Duration { return (c.deadline - c.env.clock.Now()).Duration() }

// do sends the request, with retries, and decodes the response into out. All
// its errors are exitErrors.
func (c *client) do(method, path string, body []byte, out any) error {
	delay := minRetryDelay
	for {
		address := c.addresses[c.addressIndex%len(c.addresses)]
		err := c.attempt(method, "http://"+address+path, body, out)
		var refused *zinniatide.Refusal
		if err == nil {
			return nil
		}
		if errors.As(err, &refused) && permanentCodes[refused.Code] {
			return &exitError{exitRefused, refused}
		}
		c.addressIndex++
		if c.remaining() <= delay {
			return &exitError{exitNoResponse, fmt.Errorf("gave up after %v; last error, from %s: %w", c.env.timeout, address, err)}
		}
		// Half of the delay is jitter, so that clients that lost the same control
		// VM don't retry at the same moment.
		c.env.sleep(delay/2 + time.Duration(c.env.random.Int64N(int64(delay/2))))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (c *client) attempt(method, url string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(attemptTimeout, max(c.remaining(), minAttemptTimeout)))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("unreadable response: %w", err)
		}
		return nil
	}
	var r refusalBody
	if err := json.Unmarshal(data, &r); err != nil || r.Code == "" {
		return fmt.Errorf("HTTP status %s without an error code in the body", response.Status)
	}
	return &zinniatide.Refusal{Code: r.Code, Outcome: r.Outcome, Message: r.Message}
}
