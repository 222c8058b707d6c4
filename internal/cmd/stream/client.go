package stream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/config/process"
)

const (
	// requestTimeout is the timeout of one request to an operators' port.
	requestTimeout = 10 * time.Second
	// maxResponseBytes is the maximum size of a response body; a longer one is cut.
	maxResponseBytes = 64 << 20
)

// Client sends requests to the operators' port of an entry VM.
type Client struct {
	// Address is the IP address and port; AddressFlag sets it.
	Address string
	// Do sends an HTTP request.
	Do func(req *http.Request) (*http.Response, error)
}

// NewClient returns a client that ignores proxies. The command must add AddressFlag to its flags.
func NewClient() *Client {
	client := &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: requestTimeout}
	return &Client{Do: client.Do}
}

// AddressFlag returns the flag --operator, which sets the address.
func (c *Client) AddressFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "operator", Usage: "address of the entry VM's operators' port", Value: "127.0.0.1:8081",
		Sources: cli.EnvVars(process.Env("operator")), Destination: &c.Address,
	}
}

// Get requests path and decodes the JSON response into the value that into points to.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, into)
}

// Post sends a request without a body to path and discards the response.
func (c *Client) Post(ctx context.Context, path string) error {
	return c.call(ctx, http.MethodPost, path, nil)
}

// call sends a request and decodes the response if into is not nil. Any status but 2xx is an error.
func (c *Client) call(ctx context.Context, method, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, nil)
	if err != nil {
		return WithExitCode(errors.Newf("operator: %q is not a valid address; set --operator", c.Address), ExitUsage)
	}
	resp, err := c.Do(req)
	if err != nil {
		return errors.Wrapf(err, "no response from %s; check --operator and that the entry VM runs", c.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("request for %s to %s failed with HTTP status %d", path, c.Address, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into)
	return errors.Wrapf(err, "decode the response from %s; check that it is the operators' port of an entry VM", c.Address)
}

// JSONFlag returns the flag --json, which sets into.
func JSONFlag(into *bool) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the result as JSON", Destination: into}
}

// Args returns the arguments of a command that takes from minArgs to maxArgs of them. Another number is an error with
// ExitUsage, in which expected describes the arguments, such as "one folder".
func Args(cmd *cli.Command, minArgs, maxArgs int, expected string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < minArgs || len(args) > maxArgs {
		err := errors.Newf("unexpected number of arguments (%d): expected %s; see basilspan %s --help",
			len(args), expected, cmd.Name)
		return nil, WithExitCode(err, ExitUsage)
	}
	return args, nil
}
