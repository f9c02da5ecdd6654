// Package engine is a client of the model engines, the backend servers whose
// instances form replica groups.
//
// The client reads reports, sends orders that carry a fencing number, and opens
// draft streams. Only this package knows the wire format of the engines, so that
// support for another engine changes one package. Errors are classified by
// whether the engine may have executed the request: ErrRefused and ErrNotSent mean
// that it did not.
//
// # Usage
//
//	client := engine.New()
//	report, err := client.Report(ctx, "127.0.0.1:7100")
//	stream, err := client.Generate(ctx, "127.0.0.1:7100", engine.GenerateRequest{...})
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

	"hazelslip/internal/common/responsehead"
)

// Errors of a request to an engine. Use errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("could not connect to the engine")
	// ErrRefused means that the engine reported that it did not execute the request.
	ErrRefused = errors.New("the engine refused the request")
	// ErrInterrupted means that the request was or may have been sent and no complete, valid response arrived.
	ErrInterrupted = errors.New("the engine's response is incomplete or invalid")
)

// Values of Report.State.
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
	// maxTrailerBytes bounds the bytes that Close reads after the last piece.
	maxTrailerBytes = 512
	idleConns       = 256
)

// Report is the status that an engine reports. Rates are in tokens per second.
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

// Order tells an engine to join a group or, if Members is empty, to leave its current group. Number is the fencing
// number. In an order to join it is also the number that identifies the group.
type Order struct {
	Number  uint64
	Model   string
	Members []string
	// Release makes the engine leave its group only if that is still this group.
	Release uint64
}

// OrderReply is the engine's reply to an order. Highest is the highest fencing number that the engine has accepted, if
// it records one.
type OrderReply struct {
	Accepted bool
	Highest  uint64
	Cause    string
}

// GenerateRequest asks the first member of a group to generate tokens. Resume holds the tokens that were already
// received; the engine continues after them.
type GenerateRequest struct {
	Group     uint64
	Attempt   uint64
	Model     string
	Prompt    string
	Resume    []string
	MaxTokens int
	Priority  int32
	Workspace string
}

// Piece is one line of a draft stream: a token or the end of the stream.
type Piece struct {
	Attempt uint64
	Offset  int
	Token   string
	End     bool
	Reason  string
	Failure string
}

// Client sends requests to any number of engines. The zero value is not usable; call New.
type Client struct {
	transport  *http.Transport
	httpClient *http.Client
	// Counters count the control requests, which are reports and orders.
	Counters Counters
}

// Option configures a Client.
type Option func(*Client)

// Dial sets the function that opens connections.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) {
		client.transport.DialContext = dial
	}
}

// New returns a client without connections.
func New(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	client := &Client{transport: transport, httpClient: &http.Client{Transport: responsehead.NewTransport(transport)}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}

// Report reads the report of one engine.
func (client *Client) Report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "build report request")
	}
	var report Report
	if err := client.doJSON(request, &report); err != nil {
		return Report{}, errors.Wrapf(err, "read report of engine %s", address)
	}
	return report, nil
}

// Order sends one order. After an error it is unknown whether the engine has accepted the order.
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
	if err := client.doJSON(request, &reply); err != nil {
		return OrderReply{}, errors.Wrapf(err, "send order to engine %s", address)
	}
	return reply, nil
}

func (client *Client) doJSON(request *http.Request, reply any) error {
	client.Counters.Requests.Add(1)
	response, err := client.httpClient.Do(request)
	if err != nil {
		client.Counters.Failures.Add(1)
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("engine responded %s", response.Status)
	}
	return errors.Wrap(json.Unmarshal(body, reply), "decode reply")
}

// Generate opens a draft stream. The error is ErrNotSent or ErrRefused if the engine certainly did not execute the
// request.
func (client *Client) Generate(ctx context.Context, address string, generate GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(generate)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode generate request"), ErrNotSent)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/generate", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build generate request"), ErrNotSent)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(markConnectError(err), "send generate request to engine %s", address)
	}
	if response.StatusCode == http.StatusOK {
		return newStream(response.Body), nil
	}
	defer response.Body.Close()
	cause, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
	failure := errors.Newf("send generate request to engine %s: engine responded %s: %s", address, response.Status, cause)
	switch response.StatusCode {
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, errors.Mark(failure, ErrRefused)
	}
	return nil, errors.Mark(failure, ErrInterrupted)
}

// markConnectError marks an error as ErrNotSent if no connection was opened, otherwise as ErrInterrupted.
func markConnectError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrInterrupted)
}

// Stream reads the pieces of one response. Next and Close must be called from the same goroutine.
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

// Next returns the next piece. A stream that ends without an End piece returns ErrInterrupted, so a broken connection is
// never mistaken for the end of the response.
func (stream *Stream) Next() (Piece, error) {
	if !stream.scanner.Scan() {
		cause := stream.scanner.Err()
		if cause == nil {
			cause = io.ErrUnexpectedEOF
		}
		return Piece{}, errors.Mark(errors.Wrap(cause, "read piece"), ErrInterrupted)
	}
	piece, err := ParsePiece(stream.scanner.Bytes())
	stream.ended = stream.ended || (err == nil && piece.End)
	return piece, err
}

// ParsePiece decodes one line of a draft stream.
func ParsePiece(line []byte) (Piece, error) {
	var piece Piece
	if err := json.Unmarshal(line, &piece); err != nil {
		return Piece{}, errors.Mark(errors.Wrap(err, "decode piece"), ErrInterrupted)
	}
	if piece.Offset < 0 {
		return Piece{}, errors.Mark(errors.Newf("decode piece: negative offset %d", piece.Offset), ErrInterrupted)
	}
	return piece, nil
}

// Close ends the stream. If the End piece was not read, Close closes the connection, upon which the engine cancels the
// request. Otherwise Close first reads the few bytes after the End piece, so that the connection can be reused and not
// each draft needs a new one.
func (stream *Stream) Close() error {
	if stream.ended {
		_, _ = io.CopyN(io.Discard, stream.body, maxTrailerBytes)
	}
	return stream.body.Close()
}
