// Package queuer queues requests that wait for a slot, earliest deadline first.
package queuer

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// Queue is a bounded queue ordered by deadline. Requests with equal deadlines
// keep their order. It is not safe for concurrent use.
type Queue[T comparable] struct {
	limit int
	items []item[T]
}

type item[T any] struct {
	deadline zinniatide.Millis
	value    T
}

// New returns an empty queue for at most limit requests.
func New[T comparable](limit int) Queue[T] { return Queue[T]{limit: limit} }

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a request. It returns false if the queue is full.
func (q *Queue[T]) Push(deadline zinniatide.Millis, value T) bool {
	if len(q.items) >= q.limit {
		return false
	}
	q.items = slices.Insert(q.items, q.Position(deadline), item[T]{deadline, value})
	return true
}

// Position returns how many queued requests would be served before a new one
// with the given deadline.
func (q *Queue[T]) Position(deadline zinniatide.Millis) int {
	i, _ := slices.BinarySearchFunc(q.items, deadline, func(it item[T], d zinniatide.Millis) int {
		if it.deadline <= d {
			return -1
		}
		return 1
	})
	return i
}

// Pop removes the request with the earliest deadline.
func (q *Queue[T]) Pop() (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	value = q.items[0].value
	q.items = slices.Delete(q.items, 0, 1)
	return value, true
}

// PopExpired removes the request with the earliest deadline if that deadline
// has passed.
func (q *Queue[T]) PopExpired(now zinniatide.Millis) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].deadline > now {
		return value, false
	}
	return q.Pop()
}

// Remove removes a request at any position. It returns false if the request is
// not queued.
func (q *Queue[T]) Remove(value T) bool {
	i := slices.IndexFunc(q.items, func(it item[T]) bool { return it.value == value })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// EstimateCompletion returns the expected time from now until a request at the
// given position of the queue ends. It assumes that all slots are busy and that
// each request takes latency.
func EstimateCompletion(position, slots int, latency zinniatide.Millis) zinniatide.Millis {
	return latency + zinniatide.Millis(position+1)*latency/zinniatide.Millis(max(slots, 1))
}
