// Package example holds the example configurations of both deployments, at their present sizes.
package example

import (
	"embed"
	"io/fs"
	"path"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/folder"
)

//go:embed al-wadi/*.json lanka/*.json
var embedded embed.FS

// The names of the deployments.
const (
	AlWadi = "al-wadi"
	Lanka  = "lanka"
)

// Names returns the names of the deployments.
func Names() []string {
	return []string{AlWadi, Lanka}
}

// Files returns the configuration files of one deployment.
func Files(name string) ([]folder.File, error) {
	entries, err := fs.ReadDir(embedded, name)
	if err != nil {
		return nil, errors.Wrapf(err, "no example is named %q", name)
	}
	var files []folder.File
	for _, e := range entries {
		content, err := embedded.ReadFile(path.Join(name, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read an example file")
		}
		files = append(files, folder.File{Name: e.Name(), Content: content})
	}
	return files, nil
}
