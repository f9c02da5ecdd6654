package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	clientTimeout  = 12 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client asks a node's operator address. Base is its URL.
type Client struct {
	Base string
}

// Status is an answer other than success.
type Status struct {
	Code    int
	Problem string
}

// Error tells what the node answered.
func (status *Status) Error() string {
	return status.Problem
}

// Get reads a path into the value. The error is a Status where the node
// answered with one.
func (client Client) Get(path string, value any) error {
	return client.do(http.MethodGet, path, nil, value)
}

// Change puts or deletes a class and returns the verdict.
func (client Client) Change(name string, change Change, deleting bool) (Verdict, error) {
	method := http.MethodPut
	if deleting {
		method = http.MethodDelete
	}
	body, err := json.Marshal(change)
	if err != nil {
		return Verdict{}, errors.Wrap(err, "encode change")
	}
	verdict := Verdict{}
	err = client.do(method, "/Classes/"+url.PathEscape(name), body, &verdict)
	var status *Status
	if errors.As(err, &status) && (status.Code == http.StatusConflict || verdict.Reason != "") {
		return verdict, nil
	}
	return verdict, err
}

func (client Client) do(method, path string, body []byte, value any) error {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, client.Base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask the node; name its operator address with --node")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read the node's answer")
	}
	if response.StatusCode != http.StatusOK {
		problem := Problem{}
		_ = json.Unmarshal(answer, &problem)
		_ = json.Unmarshal(answer, value)
		return &Status{Code: response.StatusCode, Problem: problem.Problem}
	}
	return errors.Wrap(json.Unmarshal(answer, value), "decode the node's answer")
}
