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
	// requestTimeout bounds one call of an operators' port.
	requestTimeout = 10 * time.Second
	// maxResponseBytes is the largest answer that is read.
	maxResponseBytes = 64 << 20
)

// Client calls the operators' port of an entry VM.
type Client struct {
	Address string
	// Do sends an HTTP request.
	Do func(req *http.Request) (*http.Response, error)
}

// NewClient makes a client; its address is set by Flag.
func NewClient() *Client {
	client := &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: requestTimeout}
	return &Client{Do: client.Do}
}

// AddressFlag gives the flag that sets the address.
func (c *Client) AddressFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "operator", Usage: "address for operators of the entry VM", Value: "127.0.0.1:8081",
		Sources: cli.EnvVars(process.Env("operator")), Destination: &c.Address,
	}
}

// Get reads the JSON answer of a path.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, into)
}

// Post asks for what a path does.
func (c *Client) Post(ctx context.Context, path string) error {
	return c.call(ctx, http.MethodPost, path, nil)
}

func (c *Client) call(ctx context.Context, method, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, nil)
	if err != nil {
		return WithExitCode(errors.Newf("operator: %q is no address; set --operator", c.Address), ExitUsage)
	}
	resp, err := c.Do(req)
	if err != nil {
		return errors.Wrapf(err, "no answer from %s; check --operator and that the entry VM runs", c.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("%s of %s was answered with HTTP status %d", path, c.Address, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into)
	return errors.Wrapf(err, "the answer of %s is not valid; is it the operators' port of an entry VM?", c.Address)
}

// JSONFlag gives the flag for printing as JSON.
func JSONFlag(into *bool) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the result as JSON", Destination: into}
}

// Args gives the arguments of a command that takes from least to most of them; what names them for the error.
func Args(cmd *cli.Command, minArgs, maxArgs int, expected string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < minArgs || len(args) > maxArgs {
		err := errors.Newf("%d arguments were given: name %s; see basilspan %s --help", len(args), expected, cmd.Name)
		return nil, WithExitCode(err, ExitUsage)
	}
	return args, nil
}
