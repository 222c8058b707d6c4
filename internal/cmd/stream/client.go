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
	// callTime bounds one call of an operators' port.
	callTime = 10 * time.Second
	// maxAnswer is the largest answer that is read.
	maxAnswer = 64 << 20
)

// Client calls the operators' port of an entry VM.
type Client struct {
	Operator string
	// Do sends an HTTP request.
	Do func(req *http.Request) (*http.Response, error)
}

// NewClient makes a client; its address is set by Flag.
func NewClient() *Client {
	client := &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: callTime}
	return &Client{Do: client.Do}
}

// Flag gives the flag that sets the address.
func (c *Client) Flag() cli.Flag {
	return &cli.StringFlag{
		Name: "operator", Usage: "address for operators of the entry VM", Value: "127.0.0.1:8081",
		Sources: cli.EnvVars(process.Env("operator")), Destination: &c.Operator,
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
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Operator+path, nil)
	if err != nil {
		return WithExit(errors.Newf("operator: %q is no address; set --operator", c.Operator), ExitUsage)
	}
	resp, err := c.Do(req)
	if err != nil {
		return errors.Wrapf(err, "no answer from %s; check --operator and that the entry VM runs", c.Operator)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("%s of %s was answered with HTTP status %d", path, c.Operator, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(into)
	return errors.Wrapf(err, "the answer of %s is not valid; is it the operators' port of an entry VM?", c.Operator)
}

// JSONFlag gives the flag for printing as JSON.
func JSONFlag(into *bool) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the result as JSON", Destination: into}
}

// Args gives the arguments of a command that takes from least to most of them; what names them for the error.
func Args(cmd *cli.Command, least, most int, what string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < least || len(args) > most {
		err := errors.Newf("%d arguments were given: name %s; see basilspan %s --help", len(args), what, cmd.Name)
		return nil, WithExit(err, ExitUsage)
	}
	return args, nil
}
