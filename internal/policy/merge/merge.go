// Package merge selects the greatest records from the parts of a gathered answer.
package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record in bytes. A shorter remainder of a part is ignored.
const RecordSize = 16

// TopRecords returns the n greatest records of the parts in descending bytewise order, none if n is negative. Equal
// records are all kept.
func TopRecords(n int, parts [][]byte) []byte {
	records := 0
	for _, part := range parts {
		records += len(part) / RecordSize
	}
	n = min(max(n, 0), records)
	kept := make([][]byte, 0, n+1)
	for _, part := range parts {
		for len(part) >= RecordSize {
			record := part[:RecordSize:RecordSize]
			part = part[RecordSize:]
			kept = insert(kept, n, record)
		}
	}
	return bytes.Join(kept, nil)
}

// insert inserts record into kept, which holds at most n records in descending order.
func insert(kept [][]byte, n int, record []byte) [][]byte {
	if len(kept) == n && (n == 0 || bytes.Compare(record, kept[n-1]) <= 0) {
		return kept
	}
	index, _ := slices.BinarySearchFunc(kept, record, func(have, want []byte) int { return bytes.Compare(want, have) })
	kept = slices.Insert(kept, index, record)
	if len(kept) > n {
		kept = kept[:n]
	}
	return kept
}
