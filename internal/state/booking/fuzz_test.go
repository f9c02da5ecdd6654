package booking_test

import (
	"testing"

	"hazelslip/internal/state/booking"
)

// FuzzTicketIssuer parses arbitrary values of the header Idempotency-Key, which callers set.
func FuzzTicketIssuer(f *testing.F) {
	f.Add("ticket-0000000000000007-abc")
	f.Add("ticket--")
	f.Add("visit-1")
	f.Fuzz(func(t *testing.T, key string) {
		if _, ok := booking.TicketIssuer(key); ok && len(key) < len("ticket-") {
			t.Fatal("a key without the ticket prefix was parsed as a ticket")
		}
	})
}
