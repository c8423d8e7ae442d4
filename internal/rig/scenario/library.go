package scenario

import (
	"embed"
	"fmt"
	"io"
	"io/fs"
	"path"
	"strings"
)

//go:embed library
var library embed.FS

// shared is the file of the library that is no scenario.
const shared = "service.txt"

// Names are the scenarios that come with the program, in order.
func Names() (names []string) {
	files, err := fs.ReadDir(library, "library")
	if err != nil {
		panic(err) // it is a part of the program
	}
	for _, f := range files {
		if f.Name() != shared {
			names = append(names, strings.TrimSuffix(f.Name(), path.Ext(f.Name())))
		}
	}
	return names
}

// Named reads one of them.
func Named(name string) (*Scenario, error) {
	f, err := library.Open("library/" + name + ".txt")
	if err != nil || name+".txt" == shared {
		return nil, fmt.Errorf("no scenario is called %q; there are %s", name, strings.Join(Names(), ", "))
	}
	defer func() { _ = f.Close() }()
	return parse(name+".txt", f, func(file string) (io.ReadCloser, error) { return library.Open("library/" + file) })
}
