// Package logservice talks to the platform's append-only log.
//
// The log orders everything written to a stream by offset. It takes several
// hundred appends a second for everybody, keeps records for a limited time and
// has outages; a reply to an append can be lost after the append took effect.
// The package reports these as typed errors and decides nothing: a caller that
// gets ErrLost must read the stream to learn what happened.
//
// The wire format of the platform's log is known to this package only.
//
// # Usage
//
//	client := logservice.New("http://127.0.0.1:7000", nil)
//	offset, err := client.Append(ctx, "Config", body)
//	page, err := client.Read(ctx, "Config", offset, logservice.Wait(time.Second))
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
	// ErrNotWritten means that the append provably took no effect.
	ErrNotWritten = errors.New("the log refused the append")
	// ErrLost means that the append may or may not have taken effect.
	ErrLost = errors.New("the log's reply to the append was lost")
	// ErrDark means that the log could not be read.
	ErrDark = errors.New("the log cannot be read")
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

// Page is the answer to one read. Earliest is the lowest offset that the log
// still keeps, Next the offset of the record that will be appended next.
type Page struct {
	Earliest uint64
	Next     uint64
	Records  []Record
}

// Appended is the log's answer to an append.
type Appended struct {
	Offset uint64
}

// Client reads and appends. Its zero value is not usable; call New.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client of the log at the base URL. A nil transport is the
// usual one.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{client: jsonhttp.New(base, transport)}
}

// Append adds one record and returns its offset. The error is ErrNotWritten
// where the log said so, else ErrLost: a connection that broke may have broken
// after the append took effect.
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
		return 0, errors.Mark(errors.Wrapf(err, "append to %s", stream), ErrLost)
	}
	defer response.Body.Close()
	return decodeAppended(stream, response)
}

func decodeAppended(stream string, response *http.Response) (uint64, error) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return 0, errors.Mark(errors.Newf("append to %s: the log answered %s", stream, response.Status), ErrNotWritten)
	default:
		return 0, errors.Mark(errors.Newf("append to %s: the log answered %s", stream, response.Status), ErrLost)
	}
	var appended Appended
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(&appended); err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append to %s: decode reply", stream), ErrLost)
	}
	return appended.Offset, nil
}

// Read returns records from the offset on, at most max of them. It waits up to
// wait for a first record when there is none yet.
func (client *Client) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Page, error) {
	var page Page
	path := fmt.Sprintf("%s?From=%d&Max=%d&WaitMs=%d", streamPath(stream), from, maxRecords, wait.Milliseconds())
	limits := jsonhttp.Limits{Timeout: wait + requestTimeout, MaxBytes: maxPageBytes}
	if err := client.client.Get(ctx, path, limits, &page); err != nil {
		return Page{}, errors.Mark(errors.Wrapf(err, "read %s", stream), ErrDark)
	}
	return page, nil
}

func streamPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}

// ParseRead reads the query of a read request; the platform's stand-in uses it
// so that the format stays in one package.
func ParseRead(query url.Values) (from uint64, maxRecords int, wait time.Duration, err error) {
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
