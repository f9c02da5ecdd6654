package backendserver

import "time"

// ServerSignals holds the flow-control signals of a server in a response head.
type ServerSignals struct {
	Limit   Limit
	Backoff Backoff
	// Draining means that the server accepts no new calls.
	Draining bool
}

// Limit is the rate limit that a server announces.
type Limit struct {
	// Rate is the limit in requests per second, for all nodes together. It is valid only if Named is set.
	Rate float64
	// Named means that the response states a limit.
	Named bool
	// Unreadable is the quoted header value if it can't be parsed as a limit; otherwise empty.
	Unreadable string
}

// Backoff is a server's request that this node send no calls for some time.
type Backoff struct {
	// Span is how long no calls are to be sent; 0 means that no backoff is requested.
	Span time.Duration
	// Unreadable is the quoted header value if it can't be parsed as a duration; otherwise empty.
	Unreadable string
}
