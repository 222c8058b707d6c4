package config

import (
	"context"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/platform/store"
	"basilspan/internal/policy/tablecheck"
)

// wireTable is the response of a gateway to GET /table.
type wireTable struct {
	Table     json.RawMessage          `json:"table"`
	Endpoints map[unit.ServiceName]int `json:"endpoints"`
}

// isTable reports whether a path is that of a file, which holds a routing table, and not of a folder.
func isTable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// readTable reads a routing table. If it can't be read, the error ends with ExitUsage.
func readTable(path string) ([]byte, error) {
	value, err := os.ReadFile(path)
	if err != nil {
		return nil, stream.WithExitCode(errors.Wrap(err, "read the routing table"), stream.ExitUsage)
	}
	return value, nil
}

// askGateway returns what a gateway says of its table and endpoints.
func askGateway(ctx context.Context, client *stream.Client) (wireTable, error) {
	var w wireTable
	err := client.Get(ctx, "/table", &w)
	return w, err
}

// live returns what a running gateway says for a check of a table.
func (w wireTable) live() (tablecheck.Live, error) {
	var head struct {
		Version unit.TableVersion `json:"version"`
	}
	if len(w.Table) > 0 {
		if err := json.Unmarshal(w.Table, &head); err != nil {
			return tablecheck.Live{}, errors.Wrap(err, "decode the version in force")
		}
	}
	return tablecheck.Live{Known: true, Version: head.Version, Endpoints: w.Endpoints}, nil
}

// checkTable prints the problems of a routing table, like Check does those of a folder.
func (o *CheckOptions) checkTable(ctx context.Context) error {
	value, err := readTable(o.Path)
	if err != nil {
		return err
	}
	var live tablecheck.Live
	if o.Client.Address != "" {
		w, err := askGateway(ctx, o.Client)
		if err != nil {
			return err
		}
		if live, err = w.live(); err != nil {
			return err
		}
	}
	var problems []folder.Problem
	for _, p := range store.CheckTable(value, live) {
		severity := folder.SeverityWarning
		if p.Severity == tablecheck.Error {
			severity = folder.SeverityError
		}
		problems = append(problems, folder.Problem{
			Severity: severity, File: o.Path, Line: p.Line, Field: p.Field, Text: p.Text,
		})
	}
	return o.report(problems, "a routing table")
}

// tableValues returns the values of the table in a file, for a comparison.
func tableValues(path string) ([]folder.Value, error) {
	value, err := readTable(path)
	if err != nil {
		return nil, err
	}
	return flattenTable(value)
}

// runningTableValues returns the values of the table in force at a gateway.
func runningTableValues(ctx context.Context, client *stream.Client) ([]folder.Value, error) {
	w, err := askGateway(ctx, client)
	if err != nil {
		return nil, err
	}
	if len(w.Table) == 0 || string(w.Table) == "null" {
		return nil, nil
	}
	return flattenTable(w.Table)
}

// flattenTable returns the values of a table. If it is no JSON, the error ends with ExitNegative.
func flattenTable(value []byte) ([]folder.Value, error) {
	flat, err := store.FlattenTable(value)
	if err != nil {
		return nil, stream.WithExitCode(err, stream.ExitNegative)
	}
	var all []folder.Value
	for _, v := range flat {
		all = append(all, folder.Value{Path: v.Path, JSON: v.JSON})
	}
	return all, nil
}
