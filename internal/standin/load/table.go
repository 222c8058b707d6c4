package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the rows as a table; latencies are in milliseconds.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "search\trank\tsent\twhole\tpartial\tnot run\tunknown\tlate\tbroken\tp50\tp90\tp99\tp99.9\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", r.Flow.Search, r.Flow.Rank,
			r.Sent, r.Whole, r.Partial, r.NotRun, r.Unknown, r.Late, r.Broken)
		for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
			fmt.Fprintf(t, "%.1f\t", float64(r.Latency.Quantile(q).Microseconds())/1000)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
