// Package folder reads the operators' folder of JSON files, merges the files in the order of their names, and checks
// the result. The format is described in docs/CONFIG.md.
package folder

import (
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"basilspan/internal/policy/revision"
)

const (
	// MaxBytes is the size of all files together that the platform's service can hold in one value.
	MaxBytes = 1 << 20
	// suffix marks the files that belong to the configuration.
	suffix = ".json"
)

// File is one file of the folder.
type File struct {
	Name    string
	Content []byte
}

// Severity says what a problem does to a configuration.
type Severity int

// The severities.
const (
	// SeverityError makes every node refuse the configuration.
	SeverityError Severity = iota
	// SeverityWarning leaves the configuration valid; a check shows it.
	SeverityWarning
)

// String gives the severity's word.
func (s Severity) String() string {
	if s == SeverityWarning {
		return "warning"
	}
	return "error"
}

// Problem is one fault of a configuration.
type Problem struct {
	Severity Severity
	File     string
	// Line is 0 when the problem belongs to no line.
	Line  int
	Field string
	Text  string
}

// String gives the problem as one line, "10-ranks.json:3: ranks.desk.urgency: must be from 1 to 1000".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			b.WriteString(":" + strconv.Itoa(p.Line))
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Read reads the JSON files of a folder in name order; sub-folders and hidden files are passed over.
func Read(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration folder")
	}
	var files []File
	for _, e := range entries {
		name := e.Name()
		if e.IsDir() || strings.HasPrefix(name, ".") || !strings.HasSuffix(name, suffix) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, errors.Wrap(err, "read a configuration file")
		}
		files = append(files, File{Name: name, Content: content})
	}
	return files, nil
}

// Sum gives the digest of the files; it does not depend on the order in which they are given.
func Sum(files []File) revision.Digest {
	h := xxhash.New()
	for _, f := range sortedByName(files) {
		for _, field := range []string{f.Name, string(f.Content)} {
			_, _ = h.WriteString(strconv.Itoa(len(field)) + ":" + field)
		}
	}
	return revision.Digest(strconv.FormatUint(h.Sum64(), 16))
}

// sortedByName gives a copy of files in the order in which they are merged.
func sortedByName(files []File) []File {
	sorted := append([]File(nil), files...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}
