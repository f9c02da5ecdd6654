// Package logservice is a client of the platform's append-only log.
//
// The log orders the records of a stream by offset. All clients together can append
// several hundred records per second. The log keeps records for a limited time and
// has outages, and the reply to an append can be lost after the append took effect.
// The package reports these cases as typed errors and does not handle them: a caller
// that gets ErrUnknownOutcome must read the stream to find out whether the record
// was appended.
//
// Only this package knows the wire format of the platform's log.
//
// # Usage
//
//	client := logservice.New("http://127.0.0.1:7000", nil)
//	offset, err := client.Append(ctx, "Config", body)
//	page, err := client.Read(ctx, "Config", offset, 100, time.Second)
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/jsonhttp"
)

// Errors of the log. Use errors.Is.
var (
	// ErrNotWritten means that the append certainly took no effect.
	ErrNotWritten = errors.New("the record was not appended to the log")
	// ErrUnknownOutcome means that the append may or may not have taken effect.
	ErrUnknownOutcome = errors.New("the outcome of the append to the log is unknown")
	// ErrUnavailable means that the log could not be read.
	ErrUnavailable = errors.New("the log is unavailable")
)

// MaxRecordBytes is the largest record that this package reads or appends.
const MaxRecordBytes = 4 << 20

const (
	maxPageBytes   = 16 << 20
	requestTimeout = 5 * time.Second
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	Body   []byte
}

// Page is the result of one read. Earliest is the lowest offset that the log still keeps. Next is the offset that the
// next appended record will get.
type Page struct {
	Earliest uint64
	Next     uint64
	Records  []Record
}

// AppendReply is the log's reply to an append.
type AppendReply struct {
	Offset uint64
}

// Client reads and appends records. The zero value is not usable; call New.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client of the log at the base URL. A nil transport stands for an http.Transport of its own.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{client: jsonhttp.New(base, transport)}
}

// Append appends one record and returns its offset. The error is ErrNotWritten if no request was sent or the log refused
// the append. Any other error is ErrUnknownOutcome, since a connection may break after the append took effect.
func (client *Client) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	if len(body) > MaxRecordBytes {
		return 0, errors.Mark(errors.Newf("a record of %d bytes is over the limit of %d", len(body), MaxRecordBytes), ErrNotWritten)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.client.BaseURL+streamPath(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "build append"), ErrNotWritten)
	}
	response, err := client.client.HTTP.Do(request)
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append to %s", stream), ErrUnknownOutcome)
	}
	defer response.Body.Close()
	return decodeAppendReply(stream, response)
}

func decodeAppendReply(stream string, response *http.Response) (uint64, error) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return 0, errors.Mark(errors.Newf("append to %s: the log answered %s", stream, response.Status), ErrNotWritten)
	default:
		return 0, errors.Mark(errors.Newf("append to %s: the log answered %s", stream, response.Status), ErrUnknownOutcome)
	}
	var reply AppendReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(&reply); err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append to %s: decode reply", stream), ErrUnknownOutcome)
	}
	return reply.Offset, nil
}

// Read returns at most maxRecords records, starting at offset from. If there is no record yet, Read waits for one, up to
// the given time.
func (client *Client) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Page, error) {
	var page Page
	path := fmt.Sprintf("%s?From=%d&Max=%d&WaitMs=%d", streamPath(stream), from, maxRecords, wait.Milliseconds())
	limits := jsonhttp.Limits{Timeout: wait + requestTimeout, MaxBytes: maxPageBytes}
	if err := client.client.Get(ctx, path, limits, &page); err != nil {
		return Page{}, errors.Mark(errors.Wrapf(err, "read %s", stream), ErrUnavailable)
	}
	return page, nil
}

func streamPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}

// ParseReadQuery decodes the URL query of a read request. The simulated platform uses it, so that the format is defined
// in one package only.
func ParseReadQuery(query url.Values) (from uint64, maxRecords int, wait time.Duration, err error) {
	if from, err = strconv.ParseUint(query.Get("From"), 10, 64); err != nil {
		return 0, 0, 0, errors.Wrap(err, "From must be an offset")
	}
	if maxRecords, err = strconv.Atoi(query.Get("Max")); err != nil {
		return 0, 0, 0, errors.Wrap(err, "Max must be a count")
	}
	waitMs, err := strconv.Atoi(query.Get("WaitMs"))
	if err != nil {
		return 0, 0, 0, errors.Wrap(err, "WaitMs must be milliseconds")
	}
	return from, maxRecords, time.Duration(waitMs) * time.Millisecond, nil
}
