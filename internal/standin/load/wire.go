package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
)

type (
	wireQuery struct {
		ID      string `json:"id"`
		Search  string `json:"search"`
		Rank    string `json:"rank"`
		Timeout int64  `json:"timeout"`
		Once    bool   `json:"once"`
		Body    []byte `json:"body"`
	}

	wireAnswer struct {
		ID       string `json:"id"`
		Code     int    `json:"code"`
		Snapshot uint64 `json:"snapshot"`
		// Shards is the number of shards that the request was for.
		Shards  int           `json:"asked"`
		Parts   []wirePart    `json:"parts"`
		Missing []wireMissing `json:"missing"`
		Extra   wireExtra     `json:"extra"`
	}

	wirePart struct {
		Shard string `json:"shard"`
		Body  []byte `json:"body"`
	}

	wireMissing struct {
		Shard string `json:"shard"`
	}

	wireExtra struct {
		Attempts int64 `json:"attempts"`
		Hedges   int64 `json:"hedges"`
		Retries  int64 `json:"retries"`
	}
)

// sendQuery sends one query and returns the answer; an error means that no complete, valid HTTP response arrived. The
// timeout goes into the query in milliseconds, at least 1; ctx limits the wait for the response.
func sendQuery(
	ctx context.Context, client *http.Client, entry unit.Address, id string, flow Flow, timeout time.Duration,
) (wireAnswer, error) {
	var answer wireAnswer
	body, err := json.Marshal(wireQuery{
		ID:      id,
		Search:  string(flow.Search),
		Rank:    string(flow.Rank),
		Timeout: max(1, timeout.Milliseconds()),
		Once:    flow.Once,
		Body:    []byte(id),
	})
	if err != nil {
		return answer, errors.Wrap(err, "encode a query")
	}
	url := "http://" + string(entry) + "/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, errors.Wrap(err, "build a query")
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer, errors.Wrap(err, "send a query")
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, errors.Wrap(err, "read an answer")
	}
	return answer, errors.Wrap(json.Unmarshal(content, &answer), "decode an answer")
}
