package parser

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
)

// Source is a TOML file with objects of a set.
type Source struct {
	name string
	text string
}

// NewSource returns a source with the name and text of a file.
func NewSource(name, text string) Source { return Source{name: name, text: text} }

// Name returns the name of the file.
func (source Source) Name() string { return source.name }

// Text returns the TOML text of the file.
func (source Source) Text() string { return source.text }

// Read returns the sources at a path: the file, or the .toml files of the folder.
func Read(path string) ([]Source, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, oops.In("parser").Wrapf(err, "reading the set at %s", path)
	}
	names := []string{path}
	if info.IsDir() {
		names, err = filepath.Glob(filepath.Join(path, "*.toml"))
		if err != nil {
			return nil, oops.In("parser").Wrapf(err, "listing the folder %s", path)
		}
	}
	var sources []Source
	for _, name := range names {
		source, err := readFile(name)
		if err != nil {
			return nil, err
		}
		sources = append(sources, source)
	}
	return sources, nil
}

func readFile(name string) (Source, error) {
	info, err := os.Stat(name)
	if err != nil {
		return Source{}, oops.In("parser").Wrapf(err, "reading %s", name)
	}
	if info.Size() > MaxSourceSize {
		// The file is not read; blank lines in its place make checkSize report that the sources are too large.
		return Source{name: name, text: strings.Repeat("\n", MaxSourceSize+1)}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return Source{}, oops.In("parser").Wrapf(err, "reading %s", name)
	}
	return Source{name: name, text: string(text)}, nil
}
