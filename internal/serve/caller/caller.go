// Package caller serves callers over HTTP: it decodes a query, has the query service answer it, and encodes the
// answer. docs/PROTOCOLS.md describes the messages and docs/RESULTS.md the codes.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/query"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/port"
)

const (
	// maxBody is the largest request that is read, in bytes.
	maxBody = 1 << 20
	// readTime bounds the reading of one request, so that a half-open caller holds nothing for long.
	readTime = 10 * time.Second
	// stopSlack is how much longer than the longest query a shutdown may take.
	stopSlack = 5 * time.Second
	// maxID is the longest request id, in bytes.
	maxID = 128
)

type (
	wireQuery struct {
		ID     string `json:"id"`
		Search string `json:"search"`
		Rank   string `json:"rank"`
		// Timeout is in milliseconds.
		Timeout int64  `json:"timeout"`
		Once    bool   `json:"once"`
		Body    []byte `json:"body"`
	}

	wireAnswer struct {
		ID       string        `json:"id"`
		Code     int           `json:"code"`
		Outcome  string        `json:"outcome"`
		Message  string        `json:"message,omitempty"`
		Snapshot uint64        `json:"snapshot,omitempty"`
		Asked    int           `json:"asked"`
		Parts    []wirePart    `json:"parts,omitempty"`
		Missing  []wireMissing `json:"missing,omitempty"`
		Extra    wireExtra     `json:"extra"`
	}

	wirePart struct {
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Body     []byte `json:"body"`
	}

	wireMissing struct {
		Shard   string `json:"shard"`
		Code    int    `json:"code"`
		Outcome string `json:"outcome"`
	}

	wireExtra struct {
		Attempts int `json:"attempts"`
		Hedges   int `json:"hedges"`
		Retries  int `json:"retries"`
		Late     int `json:"late"`
	}
)

// Server is the port for callers.
type Server struct {
	Now    func() time.Time
	Answer func(ctx context.Context, q fanout.Query) fanout.Answer

	listen   unit.Address
	listener net.Listener
	server   *server.Hertz
	tracker  *keepalive.Tracker
	done     chan struct{}
}

// Install registers the port with the kernel; it finds the query service there when it starts.
func Install(k *kernel.Kernel, listen unit.Address, now func() time.Time) error {
	s := &Server{Now: now, listen: listen, tracker: keepalive.New(), done: make(chan struct{})}
	return k.Register(kernel.Service{
		Name:  kernel.ServiceCaller,
		Value: s,
		Start: func(ctx context.Context) error {
			runner, err := kernel.Find[*query.Runner](k, kernel.ServiceQuery)
			if err != nil {
				return err
			}
			s.Answer = runner.Run
			return s.start(ctx)
		},
		Close: s.close,
	})
}

// Address gives the address that the port listens at.
func (s *Server) Address() unit.Address {
	return unit.Address(s.listener.Addr().String())
}

// BeginDrain has each further answer ask its caller to close the connection; queries are served on.
func (s *Server) BeginDrain() {
	s.tracker.BeginDrain()
}

func (s *Server) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(s.listen))
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.listener = listener
	options := append(s.tracker.Options(),
		server.WithListener(listener),
		server.WithMaxRequestBodySize(maxBody),
		server.WithReadTimeout(readTime),
		server.WithExitWaitTime(query.MaxTimeout+stopSlack),
		server.WithDisablePrintRoute(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	s.server = server.New(options...)
	s.server.POST("/query", s.handle)
	go func() {
		defer close(s.done)
		_ = s.server.Run()
	}()
	return port.Await(ctx, listener.Addr())
}

// close stops accepting connections and waits for the queries in flight.
func (s *Server) close() error {
	s.tracker.BeginDrain()
	s.tracker.CloseIdle()
	err := s.server.Shutdown(context.Background())
	<-s.done
	return errors.Wrap(err, "close the port for callers")
}

func (s *Server) handle(ctx context.Context, rc *app.RequestContext) {
	defer s.tracker.EndConnection(rc)
	q, code, message := decode(rc.Request.Body(), s.Now())
	if code != 0 {
		write(rc, fanout.Refuse(q.ID, code, message))
		return
	}
	write(rc, s.Answer(ctx, q))
}

// decode reads a query; code is 0 when it is valid, and message then empty.
func decode(body []byte, now time.Time) (q fanout.Query, code unit.Code, message string) {
	var w wireQuery
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return fanout.Query{}, unit.CodeBadRequest, err.Error()
	}
	q = fanout.Query{
		ID:     unit.RequestID(w.ID),
		Search: unit.SearchName(w.Search),
		Rank:   unit.RankName(w.Rank),
		Once:   w.Once,
		Body:   w.Body,
	}
	if w.ID == "" || len(w.ID) > maxID {
		return q, unit.CodeBadRequest, "id: must have 1 to 128 bytes"
	}
	if w.Timeout <= 0 || w.Timeout > query.MaxTimeout.Milliseconds() {
		return q, unit.CodeBadDeadline, "timeout: must be from 1 to 60000 milliseconds"
	}
	q.Deadline = now.Add(time.Duration(w.Timeout) * time.Millisecond)
	return q, 0, ""
}

func write(rc *app.RequestContext, answer fanout.Answer) {
	rc.JSON(status(answer.Code), encode(answer))
}

func encode(answer fanout.Answer) wireAnswer {
	w := wireAnswer{
		ID:       string(answer.ID),
		Code:     int(answer.Code),
		Outcome:  answer.Code.Outcome().String(),
		Message:  answer.Message,
		Snapshot: uint64(answer.Snapshot),
		Asked:    answer.Asked,
		Extra: wireExtra{
			Attempts: answer.Extra.Attempts,
			Hedges:   answer.Extra.Hedges,
			Retries:  answer.Extra.Retries,
			Late:     answer.Extra.Late,
		},
	}
	if w.Message == "" {
		w.Message = answer.Code.String()
	}
	for _, p := range answer.Parts {
		w.Parts = append(w.Parts, wirePart{Shard: string(p.Shard), Endpoint: string(p.Endpoint), Body: p.Body})
	}
	for _, m := range answer.Missing {
		outcome := m.Code.Outcome().String()
		w.Missing = append(w.Missing, wireMissing{Shard: string(m.Shard), Code: int(m.Code), Outcome: outcome})
	}
	return w
}

// status gives the HTTP status of a result code; the code in the body says more.
func status(code unit.Code) int {
	switch {
	case code.Outcome() == unit.OutcomeAnswered:
		return http.StatusOK
	case code == unit.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case code <= unit.CodeBadDeadline:
		return http.StatusBadRequest
	case code == unit.CodeOverloaded:
		return http.StatusTooManyRequests
	case code.Outcome() == unit.OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
