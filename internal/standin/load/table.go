package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Latency quantiles, in the order of the table's columns.
const (
	p50  = 0.5
	p90  = 0.9
	p99  = 0.99
	p999 = 0.999
)

// Print writes the rows as a table, with latencies in milliseconds, and hedges and retries in percent of the first
// attempts.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "search\trank\tsent\twhole\tpartial\tnot run\tunknown\tlate\tcut\tunsent\tbroken\t"+
		"p50\tp90\tp99\tp99.9\thedge%\tretry%\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", r.Flow.Search, r.Flow.Rank,
			r.Sent, r.Whole, r.Partial, r.NotRun, r.Unknown, r.Late, r.NoResponse, r.Unsent, r.Invalid)
		for _, q := range []float64{p50, p90, p99, p999} {
			fmt.Fprintf(t, "%.1f\t", millis(r.Latency.Quantile(q)))
		}
		first := r.Extra.FirstAttempts()
		fmt.Fprintf(t, "%.1f\t%.1f\t\n", 100*ratio(r.Extra.Hedges, first), 100*ratio(r.Extra.Retries, first))
	}
	return t.Flush()
}

// PrintReport writes a table of the rows, a table of the ranks, and the endpoints' counters.
func PrintReport(w io.Writer, report Report) error {
	if err := Print(w, report.Rows); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nrank\tsent\twhole and timely\ta second\t")
	for _, r := range report.Ranks {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t\n", r.Name, r.Sent, r.Good, r.Goodput)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if e := report.Endpoints; e != nil {
		fmt.Fprintf(w, "\nendpoints: %d runs, %d wasted (%.1f%%), %d refused, %d given up in the queue, %d doubled\n",
			e.Runs, e.Wasted, 100*ratio(e.Wasted, e.Runs), e.Refused, e.GivenUp, e.RepeatedRuns)
	}
	return nil
}

type (
	wireReport struct {
		// Seconds is the time during which queries were sent.
		Seconds   float64        `json:"seconds"`
		Flows     []wireRow      `json:"flows"`
		Ranks     []wireRank     `json:"ranks"`
		Endpoints *wireEndpoints `json:"endpoints,omitempty"`
	}

	wireRow struct {
		Search     string  `json:"search"`
		Rank       string  `json:"rank"`
		Rate       float64 `json:"rate"`
		Timeout    float64 `json:"timeout"`
		Unsent     int64   `json:"unsent"`
		Sent       int64   `json:"sent"`
		Whole      int64   `json:"whole"`
		Partial    int64   `json:"partial"`
		NotRun     int64   `json:"refused"`
		Unknown    int64   `json:"unknown"`
		Late       int64   `json:"late"`
		NoResponse int64   `json:"cut"`
		Invalid    int64   `json:"broken"`
		// Latencies are in milliseconds.
		P50      float64 `json:"p50"`
		P90      float64 `json:"p90"`
		P99      float64 `json:"p99"`
		P999     float64 `json:"p999"`
		Max      float64 `json:"max"`
		Attempts int64   `json:"attempts"`
		Hedges   int64   `json:"hedges"`
		Retries  int64   `json:"retries"`
		// Extra is hedges and retries as a fraction of the first attempts.
		Extra float64 `json:"extra"`
	}

	wireRank struct {
		Rank    string  `json:"rank"`
		Sent    int64   `json:"sent"`
		Good    int64   `json:"good"`
		Goodput float64 `json:"goodput"`
	}

	wireEndpoints struct {
		Runs         int64   `json:"runs"`
		Refused      int64   `json:"refused"`
		Wasted       int64   `json:"wasted"`
		RepeatedRuns int64   `json:"doubled"`
		GivenUp      int64   `json:"late"`
		WastedShare  float64 `json:"share"`
	}
)

// PrintJSON writes the report as JSON; latencies and timeouts are in milliseconds.
func PrintJSON(w io.Writer, report Report) error {
	wire := wireReport{Seconds: report.Duration.Seconds(), Flows: []wireRow{}, Ranks: []wireRank{}}
	for _, r := range report.Rows {
		wire.Flows = append(wire.Flows, encodeRow(r))
	}
	for _, r := range report.Ranks {
		wire.Ranks = append(wire.Ranks, wireRank{Rank: string(r.Name), Sent: r.Sent, Good: r.Good, Goodput: r.Goodput})
	}
	if e := report.Endpoints; e != nil {
		wire.Endpoints = &wireEndpoints{
			Runs:         e.Runs,
			Refused:      e.Refused,
			Wasted:       e.Wasted,
			RepeatedRuns: e.RepeatedRuns,
			GivenUp:      e.GivenUp,
			WastedShare:  ratio(e.Wasted, e.Runs),
		}
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(wire), "print the report")
}

func encodeRow(r Row) wireRow {
	return wireRow{
		Search:     string(r.Flow.Search),
		Rank:       string(r.Flow.Rank),
		Rate:       r.Flow.Rate,
		Timeout:    millis(r.Flow.Timeout),
		Unsent:     r.Unsent,
		Sent:       r.Sent,
		Whole:      r.Whole,
		Partial:    r.Partial,
		NotRun:     r.NotRun,
		Unknown:    r.Unknown,
		Late:       r.Late,
		NoResponse: r.NoResponse,
		Invalid:    r.Invalid,
		P50:        millis(r.Latency.Quantile(p50)),
		P90:        millis(r.Latency.Quantile(p90)),
		P99:        millis(r.Latency.Quantile(p99)),
		P999:       millis(r.Latency.Quantile(p999)),
		Max:        millis(r.Latency.Quantile(1)),
		Attempts:   r.Extra.Attempts,
		Hedges:     r.Extra.Hedges,
		Retries:    r.Extra.Retries,
		Extra:      r.Extra.Share(),
	}
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
