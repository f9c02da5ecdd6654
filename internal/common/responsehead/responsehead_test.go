package responsehead_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/jsonhttp"
	"hazelslip/internal/common/metering"
	"hazelslip/internal/common/responsehead"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/peer/service"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/testlib/endless"
	"hazelslip/platform"
)

// serve responds to each request on a connection with the given bytes. It returns the address and a function that returns
// whether the client has closed all connections.
func serve(t *testing.T, response string) (address string, closed func() bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	conns, ended := make(chan struct{}, 16), make(chan struct{}, 16)
	serving := conc.NewWaitGroup()
	stopped := make(chan struct{})
	t.Cleanup(func() {
		close(stopped)
		listener.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- struct{}{}
			serving.Go(func() {
				<-stopped
				conn.Close()
			})
			serving.Go(func() {
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						ended <- struct{}{}
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, response)
				}
			})
		}
	})
	return listener.Addr().String(), func() bool { return len(conns) > 0 && len(conns) == len(ended) }
}

// Guards against a client that takes a response with an invalid head, or sends a further request over its connection.
func TestClientsRejectInvalidHeads(t *testing.T) {
	for name, send := range map[string]func(ctx context.Context, address string) error{
		"call of a service": func(ctx context.Context, address string) error {
			response, err := service.New().Call(ctx, address, service.Call{Method: http.MethodGet, Path: "/"})
			if err == nil {
				response.Body.Close()
			}
			return err
		},
		"report of an engine": func(ctx context.Context, address string) error {
			_, err := engine.New().Report(ctx, address)
			return err
		},
		"draft": func(ctx context.Context, address string) error {
			stream, err := engine.New().Generate(ctx, address, engine.GenerateRequest{})
			if err == nil {
				stream.Close()
			}
			return err
		},
		"list or log": func(ctx context.Context, address string) error {
			return jsonhttp.New("http://"+address, &http.Transport{}).Get(ctx, "/", jsonhttp.Limits{Timeout: time.Minute, MaxBytes: 100}, &struct{}{})
		},
		"store": func(ctx context.Context, address string) error {
			_, err := platform.New(address).Platform().Store.Servers(ctx, storelog.Unknown)
			return err
		},
		"report of a server": func(ctx context.Context, address string) error {
			_, err := platform.New("").Platform().Fleet.Report(ctx, &roster.Server{Address: address})
			return err
		},
		"order to a server": func(ctx context.Context, address string) error {
			_, err := platform.New("").Platform().Fleet.Order(ctx, &roster.Server{Address: address}, formation.Order{Kind: formation.Leave})
			return err
		},
	} {
		for field, line := range map[string]string{"none": "", "a blank": "Odd : 1\r\n"} {
			t.Run(name+" with "+field, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				address, closed := serve(t, "HTTP/1.1 200 OK\r\n"+line+"Content-Length: 2\r\n\r\n{}")
				err := send(t.Context(), address)
				if line == "" {
					expect.Expect(err).NotTo(gomega.HaveOccurred())
					return
				}
				expect.Expect(errors.Is(err, responsehead.ErrInvalid)).To(gomega.BeTrue(), "%v", err)
				expect.Eventually(closed).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
			})
		}
	}
}

// Guards against a head without end that a client reads into memory, where it takes several times its size.
func TestHeadsWithoutEndAreClosed(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, dial metering.DialFunc) error{
		"service": func(ctx context.Context, dial metering.DialFunc) error {
			_, err := service.New(service.Dial(dial)).Call(ctx, "a:1", service.Call{Method: http.MethodGet, Path: "/"}) //nolint:bodyclose // the call fails
			return err
		},
		"engine": func(ctx context.Context, dial metering.DialFunc) error {
			_, err := engine.New(engine.Dial(dial)).Report(ctx, "a:1")
			return err
		},
		"list or log": func(ctx context.Context, dial metering.DialFunc) error {
			return jsonhttp.New("http://a:1", &http.Transport{DialContext: dial}).Get(ctx, "/", jsonhttp.Limits{Timeout: time.Minute, MaxBytes: 100}, &struct{}{})
		},
	} {
		for kind, repeated := range map[string]string{"one field": "xxxxxxxxxxxxxxxx", "many fields": "x\r\nA: "} {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					expect := gomega.NewWithT(t)
					sender := endless.New("HTTP/1.1 200 OK\r\nA: ", repeated)
					dial := func(context.Context, string, string) (net.Conn, error) { return sender.Conn, nil }
					expect.Expect(call(t.Context(), dial)).To(gomega.HaveOccurred())
					expect.Expect(sender.Wait()).To(gomega.BeNumerically("<=", 2*responsehead.MaxBytes))
				})
			})
		}
	}
}

// Guards against an invalid response without a body whose connection is used again.
func TestConnectionOfInvalidResponseIsClosed(t *testing.T) {
	for name, head := range map[string]string{"status": "HTTP/1.1 000 Unknown\r\n", "field": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n"} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			address, closed := serve(t, head+"Content-Length: 0\r\n\r\n")
			client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{})}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			response, err := client.Do(request)
			if err == nil {
				response.Body.Close()
			}
			expect.Expect(errors.Is(err, responsehead.ErrInvalid)).To(gomega.BeTrue(), "%v", err)
			expect.Eventually(closed).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
		})
	}
}
