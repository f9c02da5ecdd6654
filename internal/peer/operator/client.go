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
	clientTimeout    = 12 * time.Second
	maxResponseBytes = 64 << 20
)

// Client is a client of the operator API of one node. Base is the URL of the node's operator address.
type Client struct {
	Base string
}

// StatusError is a response with a status code other than 200.
type StatusError struct {
	Code    int
	Problem string
}

// Error returns the reason that the node gave.
func (status *StatusError) Error() string {
	return status.Problem
}

// Get reads the resource at a path into value. The error is a *StatusError if the node's response is not a success.
func (client Client) Get(path string, value any) error {
	return client.do(http.MethodGet, path, nil, value)
}

// Change sets or deletes a class and returns the verdict. A change that the node rejects is not an error.
func (client Client) Change(name string, change Change, isDelete bool) (Verdict, error) {
	method := http.MethodPut
	if isDelete {
		method = http.MethodDelete
	}
	body, err := json.Marshal(change)
	if err != nil {
		return Verdict{}, errors.Wrap(err, "encode class change")
	}
	verdict := Verdict{}
	err = client.do(method, "/Classes/"+url.PathEscape(name), body, &verdict)
	var status *StatusError
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
		return errors.Wrap(err, "build operator request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "request to the node failed; set its operator address with --node")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response of the node")
	}
	if response.StatusCode != http.StatusOK {
		problem := Problem{}
		_ = json.Unmarshal(content, &problem)
		_ = json.Unmarshal(content, value)
		return &StatusError{Code: response.StatusCode, Problem: problem.Problem}
	}
	return errors.Wrap(json.Unmarshal(content, value), "decode response of the node")
}
