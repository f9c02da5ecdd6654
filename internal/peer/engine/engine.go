// Package engine talks to the model engines, the backend servers whose
// instances form replica groups.
//
// It reads reports, gives orders that carry a fencing number, and opens draft
// streams. The wire format of the engines is known to this package only, so
// that another engine is a change of one package. Every failure is sorted by
// what it proves: ErrRefused and ErrNotSent mean that the work did not run.
//
// # Usage
//
//	client := engine.New()
//	report, err := client.Report(ctx, "127.0.0.1:7100")
//	stream, err := client.Generate(ctx, "127.0.0.1:7100", engine.Generate{...})
//	for {
//		piece, err := stream.Next()
//	}
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an engine. Use errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("the engine could not be connected to")
	// ErrRefused means that the engine itself says that it did not run it.
	ErrRefused = errors.New("the engine refused the request")
	// ErrBroken means that the engine's answer ended before its end.
	ErrBroken = errors.New("the engine's answer broke off")
)

// The states that an engine reports.
const (
	StateIdle    = "Idle"
	StateLoading = "Loading"
	StateReady   = "Ready"
)

const (
	dialTimeout    = 500 * time.Millisecond
	requestTimeout = 2 * time.Second
	maxReplyBytes  = 1 << 20
	maxPieceBytes  = 256 << 10
	// maxTrailerBytes is what may follow the last piece.
	maxTrailerBytes = 512
	idleConns       = 256
)

// Report is what an engine says of itself. Rates are in tokens a second.
type Report struct {
	Instance         string
	Address          string
	Incarnation      uint64
	State            string
	Group            uint64
	Highest          uint64
	Model            string
	Members          []string
	Running          uint32
	QueuedTokens     uint32
	TokensPerSecond  uint32
	PrefillPerSecond uint32
	Concurrency      uint32
	Leaving          bool
}

// Order tells an engine to become a member of a group, or, with no Members,
// to leave the group it is in. Number is the fencing number; for a forming
// order it is also the group's identity.
type Order struct {
	Number  uint64
	Model   string
	Members []string
	// Release empties the engine only if it is still in this group.
	Release uint64
}

// OrderReply is the engine's answer to an order. Highest is the highest
// fencing number that it has accepted, where it keeps one.
type OrderReply struct {
	Accepted bool
	Highest  uint64
	Cause    string
}

// Generate asks the first member of a group for tokens. Resume holds the
// tokens that the caller already has, so that the answer goes on after them.
type Generate struct {
	Group     uint64
	Attempt   uint64
	Model     string
	Prompt    string
	Resume    []string
	MaxTokens int
	Priority  int32
	Workspace string
}

// Piece is one token of an answer, or its end.
type Piece struct {
	Attempt uint64
	Offset  int
	Token   string
	End     bool
	Reason  string
	Failure string
}

// Client talks to any number of engines. Its zero value is not usable; call
// New.
type Client struct {
	httpClient *http.Client
	// Traffic counts the control requests.
	Traffic Traffic
}

// Option changes how a Client is built.
type Option func(*Client)

// Dial makes the client connect through the given function.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) {
		client.httpClient.Transport.(*http.Transport).DialContext = dial
	}
}

// New returns a client of engines.
func New(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	client := &Client{httpClient: &http.Client{Transport: transport}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Close drops the idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}

// Report reads one engine's report.
func (client *Client) Report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "build report request")
	}
	var report Report
	if err := client.exchange(request, &report); err != nil {
		return Report{}, errors.Wrapf(err, "report of %s", address)
	}
	return report, nil
}

// Order gives one order. An error leaves open whether it was taken.
func (client *Client) Order(ctx context.Context, address string, order Order) (OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return OrderReply{}, errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return OrderReply{}, errors.Wrap(err, "build order")
	}
	var reply OrderReply
	if err := client.exchange(request, &reply); err != nil {
		return OrderReply{}, errors.Wrapf(err, "order to %s", address)
	}
	return reply, nil
}

func (client *Client) exchange(request *http.Request, reply any) error {
	client.Traffic.Requests.Add(1)
	response, err := client.httpClient.Do(request)
	if err != nil {
		client.Traffic.Failures.Add(1)
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("answered %s", response.Status)
	}
	return errors.Wrap(json.Unmarshal(body, reply), "decode reply")
}

// Generate opens a draft stream. The error is ErrNotSent or ErrRefused where
// the work provably did not run.
func (client *Client) Generate(ctx context.Context, address string, generate Generate) (*Stream, error) {
	body, err := json.Marshal(generate)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode generate"), ErrNotSent)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/generate", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build generate"), ErrNotSent)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(markDial(err), "generate at %s", address)
	}
	if response.StatusCode == http.StatusOK {
		return newStream(response.Body), nil
	}
	defer response.Body.Close()
	cause, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
	failure := errors.Newf("generate at %s: answered %s: %s", address, response.Status, cause)
	switch response.StatusCode {
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, errors.Mark(failure, ErrRefused)
	}
	return nil, errors.Mark(failure, ErrBroken)
}

// markDial tells a connection that was never made from one that broke later.
func markDial(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrBroken)
}

// Stream is an answer being read. Next and Close belong to one goroutine.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	ended   bool
}

func newStream(body io.ReadCloser) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxPieceBytes)
	return &Stream{body: body, scanner: scanner}
}

// Next returns the next piece. A stream that ends without an End piece gives
// ErrBroken, so a cut connection is never taken for the end of an answer.
func (stream *Stream) Next() (Piece, error) {
	if !stream.scanner.Scan() {
		cause := stream.scanner.Err()
		if cause == nil {
			cause = io.ErrUnexpectedEOF
		}
		return Piece{}, errors.Mark(errors.Wrap(cause, "read piece"), ErrBroken)
	}
	piece, err := ParsePiece(stream.scanner.Bytes())
	stream.ended = stream.ended || (err == nil && piece.End)
	return piece, err
}

// ParsePiece decodes one line of an engine's answer.
func ParsePiece(line []byte) (Piece, error) {
	var piece Piece
	if err := json.Unmarshal(line, &piece); err != nil {
		return Piece{}, errors.Mark(errors.Wrap(err, "decode piece"), ErrBroken)
	}
	if piece.Offset < 0 {
		return Piece{}, errors.Mark(errors.Newf("a piece at position %d", piece.Offset), ErrBroken)
	}
	return piece, nil
}

// Close ends the stream. Before its end the engine sees the connection close
// and cancels; after it, the few bytes behind the last piece are read, so that
// the connection can be used again instead of a new one for each draft.
func (stream *Stream) Close() error {
	if stream.ended {
		_, _ = io.CopyN(io.Discard, stream.body, maxTrailerBytes)
	}
	return stream.body.Close()
}
