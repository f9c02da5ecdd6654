package backendserver

import "time"

// Said is what a server says of itself in the head of an answer.
type Said struct {
	Limit   Limit
	Backoff Backoff
	// Draining says that the server takes no new calls.
	Draining bool
}

// Limit is how much the server says it takes.
type Limit struct {
	// Rate is in requests a second, from all nodes together, where one is Named.
	Rate  float64
	Named bool
	// Unreadable is a value that is no limit, quoted; empty if there is none.
	Unreadable string
}

// Backoff is for how long the server wants no more calls from this node.
type Backoff struct {
	// Span is 0 for no time.
	Span time.Duration
	// Unreadable is a value that is no span, quoted; empty if there is none.
	Unreadable string
}
